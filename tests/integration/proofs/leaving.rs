//! I10 and I6: an endpoint that leaves receives no new work after a few seconds.

use std::time::Duration;

use quetzalworks::platform::Stream;
use quetzalworks::services::VmState;
use quetzalworks::standin::Faults;
use serde_json::json;

use crate::proofs::caller::{Caller, Chat, Ended};
use crate::testing::cluster::{Cluster, Node};
use crate::testing::spec::{Spec, serving};
use crate::testing::wait;

/// The goal of the design page for the last new work.
const LIMIT: Duration = Duration::from_secs(3);
/// Time of load after the limit in which nothing may begin.
const WATCHED: Duration = Duration::from_millis(800);

struct Case {
    name: &'static str,
    /// Takes endpoint 0 out.
    take_out: fn(&Cluster),
    put_back: fn(&Cluster),
    /// Processes that cannot reach the log meanwhile.
    cut: fn(&Cluster) -> Vec<&Node>,
}

/// Publishes the state of a VM or domain whose object has changed last, or not yet.
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
        cut: |_| Vec::new(),
    },
    Case {
        name: "an operator takes the VM out",
        take_out: |cluster| set_out(cluster, "vms/endpoint-0", true),
        put_back: |cluster| set_out(cluster, "vms/endpoint-0", false),
        cut: |_| Vec::new(),
    },
];

const LOG_LOST: &[Case] = &[
    Case {
        name: "a domain is taken out, one entry has lost the log",
        take_out: |cluster| set_out(cluster, "domains/domain-0", true),
        put_back: |cluster| set_out(cluster, "domains/domain-0", false),
        cut: |cluster| vec![&cluster.entries[0]],
    },
    Case {
        name: "a domain is taken out, all entries have lost the log",
        take_out: |cluster| set_out(cluster, "domains/domain-0", true),
        put_back: |cluster| set_out(cluster, "domains/domain-0", false),
        cut: |cluster| cluster.entries.iter().collect(),
    },
    Case {
        name: "a domain is taken out, its sidecar and one entry have lost the log",
        take_out: |cluster| set_out(cluster, "domains/domain-0", true),
        put_back: |cluster| set_out(cluster, "domains/domain-0", false),
        cut: |cluster| vec![&cluster.sidecars[0], &cluster.entries[1]],
    },
];

fn begun(cluster: &Cluster) -> u64 {
    cluster.engines[0].stats().requests
}

/// Guards against new work on an endpoint that leaves, and against an
/// endpoint that gets no work after its return.
#[test]
fn leaving_endpoints_get_no_new_work() {
    run(ORDERS);
}

/// Guards against new work in a domain that is out, where processes that
/// route to it cannot read the log, and against refusals while other domains
/// have room.
#[test]
fn domains_are_out_for_processes_without_the_log() {
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
            for node in (case.cut)(&cluster) {
                node.log_proxy.as_ref().unwrap().set(Faults::cut());
            }
            (case.take_out)(&cluster);
            std::thread::sleep(LIMIT);
            let before = begun(&cluster);
            std::thread::sleep(WATCHED);
            assert_eq!(begun(&cluster), before, "{}", case.name);
            for node in (case.cut)(&cluster) {
                node.log_proxy.as_ref().unwrap().set(Faults::default());
            }
            (case.put_back)(&cluster);
            wait::until("the endpoint gets work again", || begun(&cluster) > before);
        });
        for (messages, ended) in &sent {
            let whole = matches!(ended, Ended::Whole(_));
            assert!(whole, "{}: {messages}: {ended:?}", case.name);
        }
    }
}
