//! Invariants I10 and I6: an endpoint that leaves gets no new work after a few seconds.

use std::time::Duration;

use quetzalworks::platform::Stream;
use quetzalworks::platform_clients::VmState;
use quetzalworks::standin::Faults;
use serde_json::json;

use crate::proofs::caller::{Caller, Chat, Outcome};
use crate::testing::cluster::{Cluster, Node};
use crate::testing::spec::{Spec, serving};
use crate::testing::wait;

/// Time within which new work must stop, from the design page.
const REMOVAL_LIMIT: Duration = Duration::from_secs(3);
/// Duration of load after the limit, during which no work may begin.
const OBSERVATION_TIME: Duration = Duration::from_millis(800);

struct Case {
    name: &'static str,
    /// Takes endpoint 0 out of service.
    take_out: fn(&Cluster),
    put_back: fn(&Cluster),
    /// Returns the processes that cannot reach the log during the case.
    without_log: fn(&Cluster) -> Vec<&Node>,
}

/// Publishes whether a VM or domain is out of service, based on the latest change of its
/// object if there is one.
fn set_out(cluster: &Cluster, id: &str, out: bool) {
    let kind = if id.starts_with("vms/") {
        "vm"
    } else {
        "domain"
    };
    let records = cluster.log.records(Stream::Config);
    let last = records
        .iter()
        .rposition(|record| record["change"]["object"] == id);
    let base = last.map_or(0, |offset| offset as u64 + 1);
    cluster.publish(id, base, json!({ kind: { "out": out } }));
}

const ORDERS: &[Case] = &[
    Case {
        name: "the platform lists the VM as leaving",
        take_out: |cluster| cluster.inventory.set_state("endpoint-0", VmState::Leaving),
        put_back: |cluster| cluster.inventory.set_state("endpoint-0", VmState::Live),
        without_log: |_| Vec::new(),
    },
    Case {
        name: "an operator takes the VM out of service",
        take_out: |cluster| set_out(cluster, "vms/endpoint-0", true),
        put_back: |cluster| set_out(cluster, "vms/endpoint-0", false),
        without_log: |_| Vec::new(),
    },
];

const LOG_LOST: &[Case] = &[
    Case {
        name: "a domain is taken out, one entry has lost the log",
        take_out: |cluster| set_out(cluster, "domains/domain-0", true),
        put_back: |cluster| set_out(cluster, "domains/domain-0", false),
        without_log: |cluster| vec![&cluster.entries[0]],
    },
    Case {
        name: "a domain is taken out, all entries have lost the log",
        take_out: |cluster| set_out(cluster, "domains/domain-0", true),
        put_back: |cluster| set_out(cluster, "domains/domain-0", false),
        without_log: |cluster| cluster.entries.iter().collect(),
    },
    Case {
        name: "a domain is taken out, its sidecar and one entry have lost the log",
        take_out: |cluster| set_out(cluster, "domains/domain-0", true),
        put_back: |cluster| set_out(cluster, "domains/domain-0", false),
        without_log: |cluster| vec![&cluster.sidecars[0], &cluster.entries[1]],
    },
];

fn requests_begun(cluster: &Cluster) -> u64 {
    cluster.engines[0].stats().requests
}

/// Guards against new work on an endpoint that leaves, and against an endpoint that gets
/// no work after its return.
#[test]
fn leaving_endpoints_get_no_new_work() {
    run(ORDERS);
}

/// Guards against new work in a domain that is out of service when processes that route
/// to it cannot read the log, and against refusals while other domains have capacity.
#[test]
fn drained_domains_get_no_new_work_from_processes_without_the_log() {
    run(LOG_LOST);
}

fn run(cases: &[Case]) {
    let cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 4,
        proxy_log: true,
        engine: Box::new(|_| serving(&["small-1"])),
        sidecar: json!({ "cold_limit": 16, "max_concurrent": 16 }),
        ..Spec::default()
    });
    let caller = Caller::of(&cluster);
    for case in cases {
        let sent = caller.load_during(case.name, 8, Chat::default(), || {
            for node in (case.without_log)(&cluster) {
                node.log_proxy.as_ref().unwrap().set(Faults::cut());
            }
            (case.take_out)(&cluster);
            std::thread::sleep(REMOVAL_LIMIT);
            let before = requests_begun(&cluster);
            std::thread::sleep(OBSERVATION_TIME);
            assert_eq!(requests_begun(&cluster), before, "{}", case.name);
            for node in (case.without_log)(&cluster) {
                node.log_proxy.as_ref().unwrap().set(Faults::default());
            }
            (case.put_back)(&cluster);
            wait::until("work begins again", || requests_begun(&cluster) > before);
        });
        for (messages, outcome) in &sent {
            let complete = matches!(outcome, Outcome::Complete(_));
            assert!(complete, "{}: {messages}: {outcome:?}", case.name);
        }
    }
}
