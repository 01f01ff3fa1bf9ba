//! I12: a process that starts from a checkpoint reaches the same state as all others.

use quetzalworks::catalog::{Body, Catalog, Checkpoint, Record};
use quetzalworks::ids::Offset;
use quetzalworks::platform::Stream;
use quetzalworks::standin::LogCommand;
use serde_json::json;

use crate::testing::cluster::{Cluster, Node};
use crate::testing::spec::Spec;
use crate::testing::{operator, wait};

const PROFILE: &str = "profiles/chat";

/// Guards against a process that starts after records have expired and lacks a
/// part of the configuration, and against an old checkpoint that reverts changes.
#[test]
fn checkpoints_lose_and_revert_nothing() {
    struct Case {
        name: &'static str,
        /// Deadline of the profile after this case, in ms.
        deadline: u64,
        action: fn(&mut Cluster, &Checkpoint),
    }
    let cases = [
        Case {
            name: "older records expire",
            deadline: 20_001,
            action: expire_covered,
        },
        Case {
            name: "processes restart",
            deadline: 20_002,
            action: restart,
        },
        Case {
            name: "an old checkpoint is appended late",
            deadline: 20_003,
            action: append_old,
        },
        Case {
            name: "processes restart after the old checkpoint",
            deadline: 20_004,
            action: restart,
        },
    ];
    let mut cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 2,
        ..Spec::default()
    });
    operator::change(&cluster, 0, PROFILE, &json!({ "deadline_ms": 20_000 }));
    let old = checkpoint(&cluster);
    for case in cases {
        (case.action)(&mut cluster, &old);
        let members = json!({ "deadline_ms": case.deadline });
        let offset = operator::change(&cluster, 1, PROFILE, &members);
        wait::until(case.name, || {
            operator::all_applied(all_nodes(&cluster), offset)
        });
        for entry in 0..2 {
            let (revision, content) = operator::get(&cluster, entry, PROFILE).unwrap();
            assert_eq!(revision, offset + 1, "{}", case.name);
            assert_eq!(content["deadline_ms"], case.deadline, "{}", case.name);
            assert!(operator::get(&cluster, entry, "versions/small-1").is_some());
        }
        cluster.wait_until_ready();
    }
}

fn all_nodes(cluster: &Cluster) -> impl Iterator<Item = &Node> {
    cluster.entries.iter().chain(&cluster.sidecars)
}

/// Builds a checkpoint of all records in the log.
fn checkpoint(cluster: &Cluster) -> Checkpoint {
    let mut catalog = Catalog::default();
    for (record, offset) in cluster.log.records(Stream::Config).into_iter().zip(0..) {
        let body = serde_json::from_value(record).ok();
        catalog.apply(&Record {
            offset: Offset(offset),
            body,
        });
    }
    catalog.checkpoint().unwrap()
}

fn append_old(cluster: &mut Cluster, old: &Checkpoint) {
    let body = Body::Checkpoint(old.clone());
    cluster.log.append(Stream::Config, &body).unwrap();
}

fn expire_covered(cluster: &mut Cluster, old: &Checkpoint) {
    append_old(cluster, old);
    let offset = Offset(old.covers.0 + 1);
    let stream = Stream::Config;
    cluster
        .log
        .control(LogCommand::RetainFrom { stream, offset });
}

fn restart(cluster: &mut Cluster, _: &Checkpoint) {
    cluster.entries[1].process.restart();
    cluster.sidecars[1].process.restart();
    cluster.wait_until_ready();
}
