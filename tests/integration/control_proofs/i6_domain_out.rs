//! I6: a failure domain that operators have taken out of service receives no
//! new work after [`LAST_WORK`].

use std::time::{Duration, Instant};

use serde_json::json;

use crate::testing::cluster::{Cluster, Node};
use crate::testing::spec::Spec;
use crate::testing::{operator, traffic, wait};

/// Maximum time until the last new work in a domain that is out of service.
const LAST_WORK: Duration = Duration::from_secs(3);
/// Time for which the load continues after that.
const WATCH: Duration = Duration::from_millis(1_500);
const CALLERS: usize = 6;

struct Case {
    name: &'static str,
    /// Entries whose connection to the log is cut.
    entries: std::ops::Range<usize>,
    /// Sidecars whose connection to the log is cut.
    sidecars: std::ops::Range<usize>,
    /// Whether these entries are also cut off from the other entries.
    isolated: bool,
}

/// Guards against an entry that is cut off from the log and sends new work to a
/// domain that is out of service.
#[test]
fn a_domain_taken_out_gets_no_new_work_from_lagging_entries() {
    run(&[
        Case {
            name: "no fault",
            entries: 0..0,
            sidecars: 0..0,
            isolated: false,
        },
        Case {
            name: "one entry without the log",
            entries: 2..3,
            sidecars: 0..0,
            isolated: false,
        },
        Case {
            name: "one isolated entry",
            entries: 2..3,
            sidecars: 0..0,
            isolated: true,
        },
    ]);
}

/// Guards against sidecars that are cut off from the log and accept new work in
/// a domain that is out of service.
#[test]
fn a_domain_taken_out_takes_no_new_work_without_the_log() {
    run(&[
        Case {
            name: "sidecars without the log",
            entries: 0..0,
            sidecars: 0..4,
            isolated: false,
        },
        Case {
            name: "only one entry with the log",
            entries: 1..3,
            sidecars: 0..4,
            isolated: false,
        },
    ]);
}

fn run(cases: &[Case]) {
    let cluster = Cluster::start_spec(Spec {
        entries: 3,
        engines: 4,
        proxy_log: true,
        proxy_peers: true,
        ..Spec::default()
    });
    traffic::with_background_traffic(&cluster, "chat", CALLERS, |_| {
        for case in cases {
            check(&cluster, case);
        }
    });
}

fn started(cluster: &Cluster) -> u64 {
    cluster.engines[1].stats().requests
}

fn check(cluster: &Cluster, case: &Case) {
    let before = started(cluster);
    wait::until("the domain is in use", || started(cluster) > before + 20);
    cut(cluster, case, true);
    let change_start = Instant::now();
    operator::change(cluster, 0, "domains/domain-1", &json!({ "out": true }));
    std::thread::sleep(LAST_WORK.saturating_sub(change_start.elapsed()));
    let started_until_target = started(cluster);
    std::thread::sleep(WATCH);
    assert_eq!(
        started(cluster),
        started_until_target,
        "{}: new work in the domain",
        case.name
    );
    cut(cluster, case, false);
    let offset = operator::change(cluster, 0, "domains/domain-1", &json!({ "out": false }));
    let nodes = || cluster.entries.iter().chain(&cluster.sidecars);
    wait::until("back in service", || operator::all_applied(nodes(), offset));
}

fn cut(cluster: &Cluster, case: &Case, is_cut: bool) {
    let entries = &cluster.entries[case.entries.clone()];
    let nodes = entries
        .iter()
        .chain(&cluster.sidecars[case.sidecars.clone()]);
    operator::set_log_cut(nodes, is_cut);
    if case.isolated {
        operator::set_peers_cut(entries, is_cut);
        let cut: Vec<_> = entries.iter().filter(|_| is_cut).map(address).collect();
        for entry in &cluster.entries[..case.entries.start] {
            entry.peer_proxy.as_ref().unwrap().cut_clients(cut.clone());
        }
    }
}

const fn address(node: &Node) -> std::net::SocketAddr {
    node.peer_addr
}
