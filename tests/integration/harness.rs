//! Self-tests of the harness: injected faults take effect and can be undone.

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
use crate::testing::{isolation, wait};

/// Guards against a link that bypasses its proxy, an answer that is truncated or
/// mixed up on a lossy link, and a process that cannot be restarted.
#[test]
fn injected_faults_take_effect_and_are_undone() {
    let mut cluster = Cluster::start_spec(Spec {
        entries: 2,
        services: 1,
        proxy_peers: true,
        proxy_log: true,
        proxy_endpoints: true,
        settings: json!({ "traffic_threads": 1 }),
        ..Spec::default()
    });
    let reordering = Faults {
        duplicate: "0.2".parse().unwrap(),
        reorder: "0.2".parse().unwrap(),
        ..Faults::default()
    };
    for node in &cluster.sidecars {
        node.peer_proxy.as_ref().unwrap().set(reordering);
    }
    let outcome = load::run(&cluster, Load::default());
    assert_eq!(outcome.complete, outcome.total(), "{outcome:?}");

    for node in &cluster.sidecars {
        node.peer_proxy.as_ref().unwrap().set(Faults::cut());
    }
    wait::until("requests fail without a reachable sidecar", || {
        cluster
            .send_chat(0)
            .is_ok_and(|answer| answer.status >= 500)
    });
    for node in &cluster.sidecars {
        node.peer_proxy.as_ref().unwrap().set(Faults::default());
    }
    cluster.wait_until_ready();

    cluster.entries[0].process.kill();
    assert!(cluster.send_chat(0).is_err());
    cluster.entries[0].process.restart();
    cluster.wait_until_ready();
    // Log lines are written asynchronously, some time after the event.
    wait::until("both starts are logged", || {
        cluster.entries[0].process.lines_with("starts").len() >= 2
    });
    assert_eq!(cluster.entries[0].process.lines_with("starts").len(), 2);

    cluster.entries[1].process.suspend();
    std::thread::sleep(Duration::from_millis(50));
    cluster.entries[1].process.resume();
    cluster.wait_until_ready();
}

/// Guards against an address that is briefly in use because a process between
/// fork and exec holds a copy of the socket that probed it.
#[test]
fn addresses_are_free_while_processes_start() {
    /// Number of addresses to take; without the lock in `isolation`, 20 of these were in use.
    const ADDRESSES: usize = 3_000;
    let is_over = AtomicBool::new(false);
    let in_use = thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while !is_over.load(Ordering::Acquire) {
                    isolation::spawn(&mut Command::new("true")).wait().unwrap();
                }
            });
        }
        let addrs_in_use =
            (0..ADDRESSES).filter(|_| TcpListener::bind(isolation::free_addr()).is_err());
        let in_use = addrs_in_use.count();
        is_over.store(true, Ordering::Release);
        in_use
    });
    assert_eq!(in_use, 0, "of {ADDRESSES} addresses were in use");
}
