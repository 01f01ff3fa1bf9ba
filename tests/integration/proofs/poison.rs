//! A poison request takes at most two endpoints with it.

use quetzalworks::standin::EngineProfile;
use quetzalworks::standin::Faults;
use serde_json::json;

use crate::proofs::caller::{Caller, Chat, Ended};
use crate::testing::cluster::Cluster;
use crate::testing::spec::{Spec, serving};

/// Result code of a quarantined request.
const QUARANTINED: u64 = 1422;
/// Endpoints that one poison request may crash.
const MAX_LOST: u64 = 2;

struct Case {
    name: &'static str,
    /// Whether the processes beside the endpoints cannot read the log, so that
    /// only the entries know of a crash.
    blind: bool,
    /// Callers of other requests at the same time.
    callers: usize,
    /// Entries through which the caller sends the request, each time on a new connection.
    entries: &'static [usize],
    stream: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "crashes are not on record beside the endpoints, 1",
        blind: true,
        callers: 36,
        entries: &[0],
        stream: true,
    },
    Case {
        name: "crashes are not on record beside the endpoints, 2",
        blind: true,
        callers: 36,
        entries: &[1],
        stream: true,
    },
    Case {
        name: "again through the same entry",
        blind: false,
        callers: 6,
        entries: &[0, 0, 0, 0, 0],
        stream: false,
    },
    Case {
        name: "again through another entry each time",
        blind: false,
        callers: 6,
        entries: &[0, 1, 2, 0, 1, 2],
        stream: true,
    },
];

fn poisonable() -> EngineProfile {
    EngineProfile {
        poison: Some("poison".into()),
        ..serving(&["small-1"])
    }
}

fn crashes(cluster: &Cluster) -> u64 {
    let engines = cluster.engines.iter();
    engines.map(|engine| engine.stats().crashes).sum()
}

/// Guards against a poison request that crashes a third endpoint when its
/// caller sends it again, through another entry too, and against other
/// requests that are lost or refused with it.
#[test]
fn a_poison_request_takes_two_endpoints_at_most() {
    let cluster = Cluster::start_spec(Spec {
        entries: 3,
        engines: 6,
        proxy_log: true,
        engine: Box::new(|_| poisonable()),
        sidecar: json!({ "cold_limit": 16, "max_concurrent": 16 }),
        ..Spec::default()
    });
    let caller = Caller::of(&cluster);
    let set_logs = |faults: Faults| {
        for node in &cluster.sidecars {
            node.log_proxy.as_ref().unwrap().set(faults);
        }
    };
    for case in CASES {
        if case.blind {
            set_logs(Faults::cut());
        }
        let before = crashes(&cluster);
        let chat = Chat {
            stream: case.stream,
            ..Chat::default()
        };
        let mut poison = Vec::new();
        let sent = caller.load_during(case.name, case.callers, Chat::default(), || {
            for entry in case.entries {
                let text = format!("poison: {}", case.name);
                poison.push(caller.chat(*entry, &text, chat).1);
            }
        });
        let lost = crashes(&cluster) - before;
        assert!(lost <= MAX_LOST, "{}: {lost} lost: {poison:?}", case.name);
        set_logs(Faults::default());
        let quarantined = Ended::Refused {
            number: QUARANTINED,
            not_run: true,
        };
        if !case.blind {
            assert_eq!(poison.last(), Some(&quarantined), "{}", case.name);
        }
        for (messages, ended) in &sent {
            let whole = matches!(ended, Ended::Whole(_));
            assert!(whole, "{}: {messages}: {ended:?}", case.name);
        }
    }
}

struct Alone {
    name: &'static str,
    /// Whether the entry cannot put crashes on record.
    log_away: bool,
    /// Poison requests, each sent three times in a row.
    requests: usize,
}

const ALONE: &[Alone] = &[
    Alone {
        name: "the log answers",
        log_away: false,
        requests: 6,
    },
    Alone {
        name: "the log is away",
        log_away: true,
        requests: 3,
    },
];

/// Guards against an entry that hears of a crash only with the next heartbeat
/// of the process beside the endpoint, or only from the log: with one entry no
/// other one's heartbeat comes earlier.
#[test]
fn a_single_entry_knows_a_crash_before_its_caller_comes_again() {
    let cluster = Cluster::start_spec(Spec {
        engines: 6,
        proxy_log: true,
        engine: Box::new(|_| poisonable()),
        ..Spec::default()
    });
    let caller = Caller::of(&cluster);
    for case in ALONE {
        let faults = if case.log_away {
            Faults::cut()
        } else {
            Faults::default()
        };
        for node in &cluster.entries {
            node.log_proxy.as_ref().unwrap().set(faults);
        }
        for i in 0..case.requests {
            let text = format!("poison: {} {i}", case.name);
            let before = crashes(&cluster);
            let ended: Vec<Ended> = (0..3)
                .map(|_| caller.chat(0, &text, Chat::default()).1)
                .collect();
            let lost = crashes(&cluster) - before;
            assert!(lost <= MAX_LOST, "{text}: {lost} lost: {ended:?}");
        }
    }
}
