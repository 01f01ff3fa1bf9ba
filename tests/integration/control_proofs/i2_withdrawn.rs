//! I2: a withdrawn version receives no new work.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::testing::cluster::{Cluster, Node};
use crate::testing::spec::{Spec, serving};
use crate::testing::{operator, traffic, wait};

/// Maximum time until a change is in force on all reachable processes.
const IN_FORCE_TARGET: Duration = Duration::from_secs(9);
/// Time for which the load continues after the version must be out of use.
const WATCH: Duration = Duration::from_secs(1);
const CALLERS: usize = 4;

/// Which connections to the log are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Nothing,
    /// That of one entry.
    OneEntry,
    /// That of one entry, which is also cut off from the other entries.
    OneEntryAlone,
    /// Those of all sidecars.
    Sidecars,
    /// Those of all processes except the entry that accepts the change.
    AllButOne,
}

struct Case {
    version: &'static str,
    cut: Cut,
}

/// Guards against new work on a withdrawn version from a process that is cut off
/// from the log and may have an old configuration.
#[test]
fn withdrawn_versions_get_no_new_work() {
    let cases = [
        Case {
            version: "v-nothing",
            cut: Cut::Nothing,
        },
        Case {
            version: "v-entry",
            cut: Cut::OneEntry,
        },
        Case {
            version: "v-alone",
            cut: Cut::OneEntryAlone,
        },
        Case {
            version: "v-sidecars",
            cut: Cut::Sidecars,
        },
        Case {
            version: "v-all",
            cut: Cut::AllButOne,
        },
    ];
    let mut versions = vec!["small-1"];
    versions.extend(cases.iter().map(|case| case.version));
    let cluster = Cluster::start_spec(Spec {
        entries: 3,
        engines: 3,
        engine: Box::new(move |_| serving(&versions)),
        proxy_log: true,
        proxy_peers: true,
        ..Spec::default()
    });
    for case in &cases {
        publish(&cluster, case.version);
    }
    for case in &cases {
        wait::until("the version serves through each entry", || {
            (0..3).all(|entry| {
                traffic::send_chat(&cluster, entry, case.version, "before", None)
                    .is_some_and(|answer| answer.status == 200)
            })
        });
    }
    for case in &cases {
        traffic::with_background_traffic(&cluster, case.version, CALLERS, |_| {
            check(&cluster, case);
        });
    }
}

/// Publishes the version, and a profile of the same name in which it is the cheapest.
fn publish(cluster: &Cluster, version: &str) {
    let cheap =
        json!({ "model": "small", "prompt_cost": 1, "output_cost": 1, "prior_quality": 0.9 });
    cluster.publish(
        &format!("versions/{version}"),
        0,
        json!({ "version": cheap }),
    );
    let profile =
        json!({ "teams": ["red"], "versions": [version, "small-1"], "quality_target": 0.7 });
    cluster.publish(
        &format!("profiles/{version}"),
        0,
        json!({ "profile": profile }),
    );
}

fn check(cluster: &Cluster, case: &Case) {
    let started = || traffic::requests_started(cluster, case.version, "");
    wait::until("the version is in use", || started() > 20);
    set_cut(cluster, case.cut, true);
    let withdrawn = Instant::now();
    let id = format!("versions/{}", case.version);
    let offset = operator::change(cluster, 0, &id, &json!({ "withdrawn": true }));
    // An isolated entry cannot learn of the change; the sidecars refuse its work.
    let entries = if case.cut == Cut::OneEntryAlone { 2 } else { 3 };
    let nodes: Vec<&Node> = cluster.entries[..entries]
        .iter()
        .chain(&cluster.sidecars)
        .collect();
    wait::until("the change is in force", || {
        operator::all_applied(nodes.iter().copied(), offset)
    });
    let took = withdrawn.elapsed();
    assert!(
        took < IN_FORCE_TARGET,
        "{:?}: in force after {took:?}",
        case.cut
    );
    let before = started();
    std::thread::sleep(WATCH);
    assert_eq!(started(), before, "{:?}: new work after {took:?}", case.cut);
    set_cut(cluster, case.cut, false);
}

fn set_cut(cluster: &Cluster, cut: Cut, is_cut: bool) {
    match cut {
        Cut::Nothing => {}
        Cut::OneEntry => operator::set_log_cut([&cluster.entries[2]], is_cut),
        Cut::OneEntryAlone => {
            operator::set_log_cut([&cluster.entries[2]], is_cut);
            operator::set_peers_cut([&cluster.entries[2]], is_cut);
            let alone = is_cut.then_some(cluster.entries[2].peer_addr);
            for entry in &cluster.entries[..2] {
                entry.peer_proxy.as_ref().unwrap().cut_clients(alone);
            }
        }
        Cut::Sidecars => operator::set_log_cut(&cluster.sidecars, is_cut),
        Cut::AllButOne => {
            operator::set_log_cut(cluster.entries[1..].iter().chain(&cluster.sidecars), is_cut);
        }
    }
}
