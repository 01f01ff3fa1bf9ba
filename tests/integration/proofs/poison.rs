//! A poison request crashes at most two endpoints.

use quetzalworks::standin::EngineProfile;
use quetzalworks::standin::Faults;
use serde_json::json;

use crate::proofs::caller::{Caller, Chat, Outcome};
use crate::testing::cluster::Cluster;
use crate::testing::spec::{Spec, serving};

/// Result code of a quarantined request.
const QUARANTINED: u64 = 1422;
/// Maximum number of endpoints that one poison request may crash.
const MAX_CRASHED: u64 = 2;

struct Case {
    name: &'static str,
    /// Whether the sidecars cannot read the log, so that only the entries learn of a
    /// crash.
    sidecars_without_log: bool,
    /// Number of concurrent callers of other requests.
    callers: usize,
    /// Entries through which the caller sends the request, each on a new connection.
    entries: &'static [usize],
    stream: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "sidecars cannot read the log, through entry 0",
        sidecars_without_log: true,
        callers: 36,
        entries: &[0],
        stream: true,
    },
    Case {
        name: "sidecars cannot read the log, through entry 1",
        sidecars_without_log: true,
        callers: 36,
        entries: &[1],
        stream: true,
    },
    Case {
        name: "retried through the same entry",
        sidecars_without_log: false,
        callers: 6,
        entries: &[0, 0, 0, 0, 0],
        stream: false,
    },
    Case {
        name: "retried through another entry each time",
        sidecars_without_log: false,
        callers: 6,
        entries: &[0, 1, 2, 0, 1, 2],
        stream: true,
    },
];

fn engine_with_poison() -> EngineProfile {
    EngineProfile {
        poison: Some("poison".into()),
        ..serving(&["small-1"])
    }
}

fn crashes(cluster: &Cluster) -> u64 {
    let engines = cluster.engines.iter();
    engines.map(|engine| engine.stats().crashes).sum()
}

/// Guards against a poison request that crashes a third endpoint when its caller retries
/// it, also through another entry, and against other requests that are lost or refused
/// because of it.
#[test]
fn a_poison_request_crashes_at_most_two_endpoints() {
    let cluster = Cluster::start_spec(Spec {
        entries: 3,
        engines: 6,
        proxy_log: true,
        engine: Box::new(|_| engine_with_poison()),
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
        if case.sidecars_without_log {
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
        let crashed = crashes(&cluster) - before;
        assert!(
            crashed <= MAX_CRASHED,
            "{}: {crashed} crashed: {poison:?}",
            case.name
        );
        set_logs(Faults::default());
        let quarantined = Outcome::Refused {
            number: QUARANTINED,
            not_run: true,
        };
        if !case.sidecars_without_log {
            assert_eq!(poison.last(), Some(&quarantined), "{}", case.name);
        }
        for (messages, outcome) in &sent {
            let complete = matches!(outcome, Outcome::Complete(_));
            assert!(complete, "{}: {messages}: {outcome:?}", case.name);
        }
    }
}

struct SingleEntryCase {
    name: &'static str,
    /// Whether the entry cannot reach the log to record crashes.
    log_unreachable: bool,
    /// Number of poison requests, each sent three times in a row.
    requests: usize,
}

const SINGLE_ENTRY_CASES: &[SingleEntryCase] = &[
    SingleEntryCase {
        name: "the log is available",
        log_unreachable: false,
        requests: 6,
    },
    SingleEntryCase {
        name: "the log is unreachable",
        log_unreachable: true,
        requests: 3,
    },
];

/// Guards against an entry that learns of a crash only with the next heartbeat of the
/// sidecar, or only from the log. With a single entry, no other entry's heartbeat can
/// report the crash earlier.
#[test]
fn a_single_entry_learns_of_a_crash_before_its_caller_retries() {
    let cluster = Cluster::start_spec(Spec {
        engines: 6,
        proxy_log: true,
        engine: Box::new(|_| engine_with_poison()),
        ..Spec::default()
    });
    let caller = Caller::of(&cluster);
    for case in SINGLE_ENTRY_CASES {
        let faults = if case.log_unreachable {
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
            let outcome: Vec<Outcome> = (0..3)
                .map(|_| caller.chat(0, &text, Chat::default()).1)
                .collect();
            let crashed = crashes(&cluster) - before;
            assert!(
                crashed <= MAX_CRASHED,
                "{text}: {crashed} crashed: {outcome:?}"
            );
        }
    }
}
