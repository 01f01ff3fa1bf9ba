//! I7: a caller receives the complete answer to its own request.

use std::time::Duration;

use quetzalworks::standin::Faults;
use serde_json::json;

use crate::proofs::caller::{Caller, Chat, Ended};
use crate::testing::cluster::Cluster;
use crate::testing::spec::{Spec, serving};

/// Time of the load before a fault begins.
const BEFORE: Duration = Duration::from_millis(150);

struct Case {
    name: &'static str,
    /// Time for which the fault lasts.
    lasts: Duration,
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

fn heal(cluster: &mut Cluster) {
    set_peers(cluster, Faults::default());
    for node in &cluster.sidecars {
        let proxy = node.endpoint_proxy.as_ref().unwrap();
        proxy.set(Faults::default());
    }
}

fn late(faults: Faults) -> Faults {
    Faults {
        delay: Duration::from_millis(20),
        ..faults
    }
}

const CASES: &[Case] = &[
    Case {
        name: "datagrams are late, duplicated and out of order",
        lasts: Duration::from_millis(500),
        begin: |cluster| {
            let faults = Faults {
                duplicate: "0.3".parse().unwrap(),
                reorder: "0.3".parse().unwrap(),
                ..Faults::default()
            };
            set_peers(cluster, late(faults));
        },
        end: heal,
    },
    Case {
        name: "the link to a sidecar is cut beyond the detection",
        lasts: Duration::from_secs(3),
        begin: |cluster| set_peer(cluster, 0, Faults::cut()),
        end: heal,
    },
    Case {
        name: "a sidecar's answers are lost, its requests arrive",
        lasts: Duration::from_secs(3),
        begin: |cluster| {
            let faults = Faults {
                cut_to_client: true,
                ..Faults::default()
            };
            set_peer(cluster, 0, faults);
        },
        end: heal,
    },
    Case {
        name: "an engine's answers are held back and come late",
        lasts: Duration::from_secs(1),
        begin: |cluster| {
            let faults = Faults {
                cut_to_client: true,
                ..Faults::default()
            };
            let node = &cluster.sidecars[1];
            node.endpoint_proxy.as_ref().unwrap().set(faults);
        },
        end: heal,
    },
    Case {
        name: "a sidecar is paused and sends late answers when it wakes",
        lasts: Duration::from_secs(4),
        begin: |cluster| cluster.sidecars[2].process.freeze(),
        end: |cluster| cluster.sidecars[2].process.thaw(),
    },
    Case {
        name: "a sidecar is killed",
        lasts: Duration::from_millis(300),
        begin: |cluster| cluster.sidecars[3].process.kill(),
        end: |cluster| cluster.sidecars[3].process.restart(),
    },
    Case {
        name: "an engine is killed",
        lasts: Duration::from_millis(300),
        begin: |cluster| cluster.engines[3].kill(),
        end: |cluster| smol::block_on(cluster.engines[3].restart()).unwrap(),
    },
];

/// Guards against an answer that is cut, that has a gap or a repeat, or that
/// belongs to another request, when the way to the endpoint or the endpoint
/// fails in the middle of streams; and against a repeatable request that is
/// lost while other endpoints serve it.
#[test]
fn answers_are_whole_when_endpoints_fail() {
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
            std::thread::sleep(BEFORE);
            (case.begin)(&mut cluster);
            std::thread::sleep(case.lasts);
            (case.end)(&mut cluster);
            load.join().unwrap()
        });
        for (messages, ended) in &sent {
            let whole = matches!(ended, Ended::Whole(_));
            assert!(whole, "{}: {messages}: {ended:?}", case.name);
        }
        cluster.wait_until_ready();
    }
}
