//! Faults that the harness injects into a running cluster.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use quetzalworks::standin::Faults;
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::load::{self, Load};
use crate::testing::spec::Spec;
use crate::testing::{place, wait};

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

/// Guards against an address that is in use for a moment because a process
/// that is being started has a copy of the socket that tried it out.
#[test]
fn addresses_are_free_while_processes_start() {
    /// Addresses that are taken; 20 of them were in use before the guard.
    const ADDRESSES: usize = 3_000;
    let is_over = AtomicBool::new(false);
    let taken = thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while !is_over.load(Ordering::Acquire) {
                    place::spawn(&mut Command::new("true")).wait().unwrap();
                }
            });
        }
        let in_use = (0..ADDRESSES).filter(|_| TcpListener::bind(place::addr()).is_err());
        let taken = in_use.count();
        is_over.store(true, Ordering::Release);
        taken
    });
    assert_eq!(taken, 0, "of {ADDRESSES} addresses");
}
