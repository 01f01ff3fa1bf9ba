//! I12: an accepted change is in force everywhere within seconds.

use std::time::{Duration, Instant};

use quetzalworks::platform::Stream;
use quetzalworks::standin::{LogCommand, Outage};
use serde_json::json;

use crate::testing::cluster::{Cluster, Node};
use crate::testing::spec::Spec;
use crate::testing::{operator, wait};

/// The target for a change to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(9);
/// Longer than the idle timeout of connections, which is 2.5 s.
const STOPPED: Duration = Duration::from_secs(4);

struct Case {
    name: &'static str,
    /// Before the change.
    begin: fn(&Cluster),
    /// After the change was accepted; from its end on the time counts.
    accepted: fn(&Cluster),
    /// After the change is in force.
    end: fn(&Cluster),
}

/// Guards against an accepted change that does not reach a process which has
/// lost the log or was stopped for a while.
#[test]
fn accepted_changes_are_in_force_within_the_target() {
    let cases = [
        Case {
            name: "no fault",
            begin: |_| {},
            accepted: |_| {},
            end: |_| {},
        },
        Case {
            name: "lost answers to appends",
            begin: lose_answers,
            accepted: |_| {},
            end: |_| {},
        },
        Case {
            name: "one entry has the log",
            begin: |cluster| operator::cut_log(without_first(cluster), true),
            accepted: |_| {},
            end: |cluster| operator::cut_log(without_first(cluster), false),
        },
        Case {
            name: "the log fails after the change",
            begin: |_| {},
            accepted: |cluster| cluster.log.control(LogCommand::Outage(Outage::Refusing)),
            end: |cluster| cluster.log.control(LogCommand::Outage(Outage::Up)),
        },
        Case {
            name: "an entry is stopped over changes",
            begin: |cluster| cluster.entries[2].process.freeze(),
            accepted: change_and_thaw,
            end: |_| {},
        },
        Case {
            name: "an entry without the log is stopped over changes",
            begin: |cluster| {
                operator::cut_log([&cluster.entries[2]], true);
                cluster.entries[2].process.freeze();
            },
            accepted: change_and_thaw,
            end: |cluster| operator::cut_log([&cluster.entries[2]], false),
        },
    ];
    let cluster = Cluster::start_spec(Spec {
        entries: 3,
        engines: 3,
        proxy_log: true,
        ..Spec::default()
    });
    for (case, n) in cases.iter().zip(1..) {
        (case.begin)(&cluster);
        let members = json!({ "deadline_ms": 10_000 * n });
        operator::change(&cluster, 0, "profiles/chat", &members);
        (case.accepted)(&cluster);
        let last = cluster.log.records(Stream::Config).len() as u64 - 1;
        let since = Instant::now();
        wait::until(case.name, || operator::have(all(&cluster), last));
        let took = since.elapsed();
        assert!(took < IN_FORCE, "{}: in force after {took:?}", case.name);
        (case.end)(&cluster);
    }
}

fn all(cluster: &Cluster) -> impl Iterator<Item = &Node> {
    cluster.entries.iter().chain(&cluster.sidecars)
}

fn without_first(cluster: &Cluster) -> impl Iterator<Item = &Node> {
    all(cluster).skip(1)
}

fn lose_answers(cluster: &Cluster) {
    let (stream, count) = (Stream::Config, 2);
    cluster
        .log
        .control(LogCommand::LoseAnswers { stream, count });
}

fn change_and_thaw(cluster: &Cluster) {
    for n in 0..5_usize {
        let members = json!({ "deadline_ms": 9_000 + n });
        operator::change(cluster, n % 2, "profiles/chat", &members);
    }
    std::thread::sleep(STOPPED);
    cluster.entries[2].process.thaw();
}
