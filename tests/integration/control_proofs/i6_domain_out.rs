//! I6: a failure domain that operators have taken out of service receives no
//! new work after a few seconds.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::testing::cluster::{Cluster, Node};
use crate::testing::spec::Spec;
use crate::testing::{operator, traffic, wait};

/// The target for the last new work in a domain that is taken out.
const LAST_WORK: Duration = Duration::from_secs(3);
/// Time for which the load goes on after that.
const WATCH: Duration = Duration::from_millis(1_500);
const CALLERS: usize = 6;

struct Case {
    name: &'static str,
    /// Entries whose link to the log is cut.
    entries: std::ops::Range<usize>,
    /// Sidecars whose link to the log is cut.
    sidecars: std::ops::Range<usize>,
    /// Whether the entries with a cut also lose the other entries.
    alone: bool,
}

/// Guards against work that an entry which has lost the log gives to a domain
/// that is out of service.
#[test]
fn a_domain_taken_out_gets_no_new_work_from_lagging_entries() {
    run(&[
        Case {
            name: "no fault",
            entries: 0..0,
            sidecars: 0..0,
            alone: false,
        },
        Case {
            name: "one entry's log",
            entries: 2..3,
            sidecars: 0..0,
            alone: false,
        },
        Case {
            name: "one entry alone",
            entries: 2..3,
            sidecars: 0..0,
            alone: true,
        },
    ]);
}

/// Guards against work in a domain that is out of service, taken by sidecars
/// that have lost the log.
#[test]
fn a_domain_taken_out_takes_no_new_work_without_the_log() {
    run(&[
        Case {
            name: "the sidecars' log",
            entries: 0..0,
            sidecars: 0..4,
            alone: false,
        },
        Case {
            name: "all logs but one entry's",
            entries: 1..3,
            sidecars: 0..4,
            alone: false,
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
    traffic::during(&cluster, "chat", CALLERS, |_| {
        for case in cases {
            check(&cluster, case);
        }
    });
}

fn begun(cluster: &Cluster) -> u64 {
    cluster.engines[1].stats().requests
}

fn check(cluster: &Cluster, case: &Case) {
    let before = begun(cluster);
    wait::until("the domain is in use", || begun(cluster) > before + 20);
    cut(cluster, case, true);
    let out = Instant::now();
    operator::change(cluster, 0, "domains/domain-1", &json!({ "out": true }));
    std::thread::sleep(LAST_WORK.saturating_sub(out.elapsed()));
    let then = begun(cluster);
    std::thread::sleep(WATCH);
    assert_eq!(
        begun(cluster),
        then,
        "{}: new work in the domain",
        case.name
    );
    cut(cluster, case, false);
    let offset = operator::change(cluster, 0, "domains/domain-1", &json!({ "out": false }));
    let nodes = || cluster.entries.iter().chain(&cluster.sidecars);
    wait::until("back in service", || operator::have(nodes(), offset));
}

fn cut(cluster: &Cluster, case: &Case, is_cut: bool) {
    let entries = &cluster.entries[case.entries.clone()];
    let nodes = entries
        .iter()
        .chain(&cluster.sidecars[case.sidecars.clone()]);
    operator::cut_log(nodes, is_cut);
    if case.alone {
        operator::cut_peers(entries, is_cut);
        let cut: Vec<_> = entries.iter().filter(|_| is_cut).map(address).collect();
        for entry in &cluster.entries[..case.entries.start] {
            entry.peer_proxy.as_ref().unwrap().cut_clients(cut.clone());
        }
    }
}

const fn address(node: &Node) -> std::net::SocketAddr {
    node.peer_addr
}
