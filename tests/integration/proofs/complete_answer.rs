//! Invariant I7: a caller receives the complete answer to its own request.

use std::time::Duration;

use quetzalworks::standin::Faults;
use serde_json::json;

use crate::proofs::caller::{Caller, Chat, Outcome};
use crate::testing::cluster::Cluster;
use crate::testing::spec::{Spec, serving};

/// Duration of the load before a fault is injected.
const LOAD_BEFORE_FAULT: Duration = Duration::from_millis(150);

struct Case {
    name: &'static str,
    /// Duration of the fault.
    duration: Duration,
    begin: fn(&mut Cluster),
    end: fn(&mut Cluster),
}

fn set_peer(cluster: &Cluster, i: usize, faults: Faults) {
    cluster.sidecars[i].peer_proxy.as_ref().unwrap().set(faults);
}

fn set_peers(cluster: &Cluster, faults: Faults) {
    for i in 0..cluster.sidecars.len() {
        set_peer(cluster, i, faults);
    }
}

fn clear_faults(cluster: &mut Cluster) {
    set_peers(cluster, Faults::default());
    for node in &cluster.sidecars {
        let proxy = node.endpoint_proxy.as_ref().unwrap();
        proxy.set(Faults::default());
    }
}

fn with_delay(faults: Faults) -> Faults {
    Faults {
        delay: Duration::from_millis(20),
        ..faults
    }
}

const CASES: &[Case] = &[
    Case {
        name: "datagrams are delayed, duplicated and reordered",
        duration: Duration::from_millis(500),
        begin: |cluster| {
            let faults = Faults {
                duplicate: "0.3".parse().unwrap(),
                reorder: "0.3".parse().unwrap(),
                ..Faults::default()
            };
            set_peers(cluster, with_delay(faults));
        },
        end: clear_faults,
    },
    Case {
        name: "the link to a sidecar is cut for longer than failure detection takes",
        duration: Duration::from_secs(3),
        begin: |cluster| set_peer(cluster, 0, Faults::cut()),
        end: clear_faults,
    },
    Case {
        name: "the answers of a sidecar are lost, its requests arrive",
        duration: Duration::from_secs(3),
        begin: |cluster| {
            let faults = Faults {
                cut_to_client: true,
                ..Faults::default()
            };
            set_peer(cluster, 0, faults);
        },
        end: clear_faults,
    },
    Case {
        name: "the answers of an engine are held back and arrive late",
        duration: Duration::from_secs(1),
        begin: |cluster| {
            let faults = Faults {
                cut_to_client: true,
                ..Faults::default()
            };
            let node = &cluster.sidecars[1];
            node.endpoint_proxy.as_ref().unwrap().set(faults);
        },
        end: clear_faults,
    },
    Case {
        name: "a sidecar is paused and sends late answers when it resumes",
        duration: Duration::from_secs(4),
        begin: |cluster| cluster.sidecars[2].process.suspend(),
        end: |cluster| cluster.sidecars[2].process.resume(),
    },
    Case {
        name: "a sidecar is killed",
        duration: Duration::from_millis(300),
        begin: |cluster| cluster.sidecars[3].process.kill(),
        end: |cluster| cluster.sidecars[3].process.restart(),
    },
    Case {
        name: "an engine is killed",
        duration: Duration::from_millis(300),
        begin: |cluster| cluster.engines[3].kill(),
        end: |cluster| smol::block_on(cluster.engines[3].restart()).unwrap(),
    },
];

/// Guards against an answer that is truncated, has a gap or a repetition, or belongs to
/// another request when an endpoint or the path to it fails during streams, and against
/// an idempotent request that is lost while other endpoints can serve it.
#[test]
fn answers_are_complete_when_endpoints_fail() {
    let mut cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 4,
        proxy_peers: true,
        proxy_endpoints: true,
        engine: Box::new(|_| {
            let mut profile = serving(&["small-1"]);
            profile.between_tokens_ms = "8".parse().unwrap();
            profile
        }),
        sidecar: json!({ "cold_limit": 16, "max_concurrent": 16 }),
        ..Spec::default()
    });
    let caller = Caller::of(&cluster);
    let chat = Chat {
        max_tokens: 60,
        ..Chat::default()
    };
    for case in CASES {
        let sent = std::thread::scope(|scope| {
            let load = scope.spawn(|| caller.load(case.name, 12, 2, chat));
            std::thread::sleep(LOAD_BEFORE_FAULT);
            (case.begin)(&mut cluster);
            std::thread::sleep(case.duration);
            (case.end)(&mut cluster);
            load.join().unwrap()
        });
        for (messages, outcome) in &sent {
            let complete = matches!(outcome, Outcome::Complete(_));
            assert!(complete, "{}: {messages}: {outcome:?}", case.name);
        }
        cluster.wait_until_ready();
    }
}
