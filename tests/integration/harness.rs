//! Faults that the harness injects into a running cluster.

use std::time::Duration;

use quetzalworks::standin::Faults;
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::load::{self, Load};
use crate::testing::spec::Spec;
use crate::testing::wait;

/// Guards against a link that bypasses its proxy, an answer that is cut or
/// mixed up on a bad link, and a process that cannot be started again.
#[test]
fn links_are_cut_and_processes_end() {
    let mut cluster = Cluster::start_spec(Spec {
        entries: 2,
        services: 1,
        proxy_peers: true,
        proxy_log: true,
        proxy_endpoints: true,
        settings: json!({ "traffic_threads": 1 }),
        ..Spec::default()
    });
    let bad = Faults {
        duplicate: "0.2".parse().unwrap(),
        reorder: "0.2".parse().unwrap(),
        ..Faults::default()
    };
    for node in &cluster.sidecars {
        node.peer_proxy.as_ref().unwrap().set(bad);
    }
    let outcome = load::run(&cluster, Load::default());
    assert_eq!(outcome.whole, outcome.total(), "{outcome:?}");

    for node in &cluster.sidecars {
        node.peer_proxy.as_ref().unwrap().set(Faults::cut());
    }
    wait::until("no sidecar is reached", || {
        cluster.ask(0).is_ok_and(|answer| answer.status >= 500)
    });
    for node in &cluster.sidecars {
        node.peer_proxy.as_ref().unwrap().set(Faults::default());
    }
    cluster.wait_until_ready();

    cluster.entries[0].process.kill();
    assert!(cluster.ask(0).is_err());
    cluster.entries[0].process.restart();
    cluster.wait_until_ready();
    // The log is written some time after its lines are made.
    wait::until("both starts are logged", || {
        cluster.entries[0].process.lines_with("starts").len() >= 2
    });
    assert_eq!(cluster.entries[0].process.lines_with("starts").len(), 2);

    cluster.entries[1].process.freeze();
    std::thread::sleep(Duration::from_millis(50));
    cluster.entries[1].process.thaw();
    cluster.wait_until_ready();
}
