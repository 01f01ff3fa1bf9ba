//! Partitioned regions keep serving and catch up afterwards.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::testing::cluster::{Cluster, Node};
use crate::testing::spec::Spec;
use crate::testing::{operator, traffic, wait};

const IN_FORCE_TARGET: Duration = Duration::from_secs(9);
/// Duration of the partition before the checks; longer than all connection timeouts.
const PARTITION_DURATION: Duration = Duration::from_secs(4);
/// Requests to each region during the partition.
const REQUESTS: usize = 30;

/// Returns the nodes of a region. Domains are assigned in turn, so nodes of the
/// second region have odd numbers.
fn in_region(nodes: &[Node], region: usize) -> impl Iterator<Item = &Node> {
    nodes.iter().skip(region).step_by(2)
}

/// Cuts the second region off from the log and the first region, or reconnects it.
fn set_partition(cluster: &Cluster, is_cut: bool) {
    let second = in_region(&cluster.entries, 1).chain(in_region(&cluster.sidecars, 1));
    operator::set_log_cut(second, is_cut);
    for region in [0, 1] {
        let others: Vec<_> = in_region(&cluster.entries, 1 - region)
            .map(|entry| entry.peer_addr)
            .filter(|_| is_cut)
            .collect();
        for node in in_region(&cluster.entries, region).chain(in_region(&cluster.sidecars, region))
        {
            node.peer_proxy
                .as_ref()
                .unwrap()
                .cut_clients(others.clone());
        }
    }
}

/// Guards against a region that, without the log and the other region, stops
/// serving or accepts changes that it cannot record, or that does not catch up.
#[test]
fn partitioned_regions_keep_serving_and_catch_up() {
    struct Case {
        name: &'static str,
        deadline: u64,
        /// Whether a change is attempted in the region without the log.
        writes: bool,
    }
    let cases = [
        Case {
            name: "first partition",
            deadline: 20_001,
            writes: true,
        },
        Case {
            name: "second partition",
            deadline: 20_002,
            writes: false,
        },
    ];
    let cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 4,
        regions: 2,
        proxy_log: true,
        proxy_peers: true,
        ..Spec::default()
    });
    for case in cases {
        set_partition(&cluster, true);
        std::thread::sleep(PARTITION_DURATION);
        let members = json!({ "deadline_ms": case.deadline });
        let offset = operator::change(&cluster, 0, "profiles/chat", &members);
        let region = || in_region(&cluster.entries, 0).chain(in_region(&cluster.sidecars, 0));
        wait::until("in force in the region with the log", || {
            operator::all_applied(region(), offset)
        });
        assert!(
            !operator::all_applied([&cluster.entries[1]], offset),
            "{}",
            case.name
        );
        for (entry, n) in (0..2).flat_map(|entry| (0..REQUESTS).map(move |n| (entry, n))) {
            let answer = traffic::send_chat(&cluster, entry, "chat", &n.to_string(), None).unwrap();
            assert_eq!(answer.status, 200, "{}: {}", case.name, answer.text());
        }
        if case.writes {
            let domain = json!({ "out": true });
            let refused = operator::put(&cluster, 1, "domains/domain-3", 0, &domain);
            assert!(refused.unwrap().status >= 500, "{}", case.name);
        }
        set_partition(&cluster, false);
        let since = Instant::now();
        let all = || cluster.entries.iter().chain(&cluster.sidecars);
        wait::until("all catch up", || operator::all_applied(all(), offset));
        assert!(
            since.elapsed() < IN_FORCE_TARGET,
            "{}: {:?}",
            case.name,
            since.elapsed()
        );
    }
}
