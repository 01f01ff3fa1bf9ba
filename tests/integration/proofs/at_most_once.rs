//! Invariant I9: a non-idempotent call runs at most once.

use std::collections::HashSet;
use std::time::Duration;

use hyper::Method;
use quetzalworks::platform::Stream;
use quetzalworks::standin::{Faults, LogCommand, Outage, ServiceCommand};
use quetzalworks::units::Millis;
use serde_json::json;

use crate::proofs::caller::{self, Caller};
use crate::testing::cluster::Cluster;
use crate::testing::spec::Spec;
use crate::testing::{http, wait};

/// Time after which a call is certain to have begun, even if it cannot make progress.
const CALL_START_MARGIN: Duration = Duration::from_millis(300);
/// Pause before a caller retries its call.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Result code of a call whose outcome is unknown.
const OUTCOME_UNKNOWN_CODE: u64 = 2008;

/// Final outcome that each entry reports to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FinalOutcome {
    /// The answer of the service; the call ran once.
    Answer,
    /// An unknown outcome; the call ran at most once.
    Unknown,
}

struct Case {
    name: &'static str,
    /// Time that the service takes for a call.
    delay: Millis,
    before: fn(&mut Cluster),
    /// Entries through which the call is sent concurrently.
    first: &'static [usize],
    during: fn(&mut Cluster, &Baseline),
    /// Runs after the other entry has reported the final outcome.
    after: fn(&mut Cluster),
    /// Whether the outcome may be unknown until the sidecar can be reached again.
    unknown_at_first: bool,
    outcome: FinalOutcome,
}

const NO_FAULT: Case = Case {
    name: "",
    delay: Millis(0),
    before: |_| (),
    first: &[0],
    during: |_, _| (),
    after: |_| (),
    unknown_at_first: false,
    outcome: FinalOutcome::Answer,
};

/// Counts of claims and starts before the case.
struct Baseline {
    claims: usize,
    starts: usize,
}

impl Baseline {
    fn now(cluster: &Cluster) -> Self {
        Self {
            claims: claims(cluster),
            starts: starts(cluster),
        }
    }

    fn wait_for_claim(&self, cluster: &Cluster) {
        wait::until("the claim is on record", || claims(cluster) > self.claims);
    }

    fn wait_for_start(&self, cluster: &Cluster) {
        wait::until("the call is dispatched", || starts(cluster) > self.starts);
    }
}

fn claims(cluster: &Cluster) -> usize {
    let records = cluster.log.records(Stream::Calls);
    let claims = records.iter().filter(|record| record["claim"].is_object());
    claims.count()
}

fn starts(cluster: &Cluster) -> usize {
    let nodes = cluster.service_sidecars.iter();
    nodes
        .map(|node| node.process.lines_with("starts.").len())
        .sum()
}

fn set_log(cluster: &Cluster, entry: usize, faults: Faults) {
    cluster.entries[entry]
        .log_proxy
        .as_ref()
        .unwrap()
        .set(faults);
}

fn set_peers(cluster: &Cluster, faults: Faults) {
    for node in &cluster.service_sidecars {
        node.peer_proxy.as_ref().unwrap().set(faults);
    }
}

fn set_endpoints(cluster: &Cluster, faults: Faults) {
    for node in &cluster.service_sidecars {
        node.endpoint_proxy.as_ref().unwrap().set(faults);
    }
}

fn drop_answers() -> Faults {
    Faults {
        cut_to_client: true,
        ..Faults::default()
    }
}

fn drop_requests() -> Faults {
    Faults {
        cut_to_target: true,
        ..Faults::default()
    }
}

fn restart_entry(cluster: &mut Cluster) {
    set_log(cluster, 0, Faults::default());
    cluster.entries[0].process.restart();
}

const ENTRY_KILLED: &[Case] = &[
    Case {
        name: "entry killed before the claim",
        before: |cluster| set_log(cluster, 0, drop_requests()),
        during: |cluster, _| {
            std::thread::sleep(CALL_START_MARGIN);
            cluster.entries[0].process.kill();
        },
        after: restart_entry,
        ..NO_FAULT
    },
    Case {
        name: "entry killed after the claim, before the dispatch",
        before: |cluster| set_log(cluster, 0, drop_answers()),
        during: |cluster, baseline| {
            baseline.wait_for_claim(cluster);
            cluster.entries[0].process.kill();
        },
        after: restart_entry,
        ..NO_FAULT
    },
    Case {
        name: "entry killed after the dispatch",
        delay: Millis(600),
        during: |cluster, baseline| {
            baseline.wait_for_start(cluster);
            cluster.entries[0].process.kill();
        },
        after: restart_entry,
        ..NO_FAULT
    },
    Case {
        name: "entry killed after the answer, before the outcome is on record",
        delay: Millis(300),
        during: |cluster, baseline| {
            baseline.wait_for_start(cluster);
            set_log(cluster, 0, drop_requests());
            std::thread::sleep(CALL_START_MARGIN * 2);
            cluster.entries[0].process.kill();
        },
        after: restart_entry,
        ..NO_FAULT
    },
    Case {
        name: "entry paused after the claim, its dispatch comes late",
        before: |cluster| set_log(cluster, 0, drop_answers()),
        during: |cluster, baseline| {
            baseline.wait_for_claim(cluster);
            cluster.entries[0].process.suspend();
            set_log(cluster, 0, Faults::default());
        },
        after: |cluster| cluster.entries[0].process.resume(),
        ..NO_FAULT
    },
];

const LINKS: &[Case] = &[
    Case {
        name: "both entries concurrently",
        delay: Millis(50),
        first: &[0, 1, 0, 1, 0, 1],
        ..NO_FAULT
    },
    Case {
        name: "both entries concurrently, faulty links",
        delay: Millis(50),
        before: |cluster| {
            let faults = Faults {
                delay: Duration::from_millis(10),
                duplicate: "0.5".parse().unwrap(),
                reorder: "0.5".parse().unwrap(),
                ..Faults::default()
            };
            set_peers(cluster, faults);
        },
        first: &[0, 1, 0, 1],
        after: |cluster| set_peers(cluster, Faults::default()),
        ..NO_FAULT
    },
    Case {
        name: "the sidecars' answers are lost, their requests arrive",
        delay: Millis(300),
        during: |cluster, baseline| {
            baseline.wait_for_start(cluster);
            set_peers(cluster, drop_answers());
            std::thread::sleep(CALL_START_MARGIN * 10);
            set_peers(cluster, Faults::default());
        },
        unknown_at_first: true,
        ..NO_FAULT
    },
    Case {
        name: "the service executes the call, its answer is lost",
        before: |cluster| {
            for service in &cluster.services {
                service.control(ServiceCommand::LoseAnswers(1));
            }
        },
        after: |cluster| {
            for service in &cluster.services {
                service.control(ServiceCommand::LoseAnswers(0));
            }
        },
        outcome: FinalOutcome::Unknown,
        ..NO_FAULT
    },
    Case {
        name: "the service's answer is held back and comes late",
        delay: Millis(100),
        during: |cluster, baseline| {
            baseline.wait_for_start(cluster);
            set_endpoints(cluster, drop_answers());
            std::thread::sleep(CALL_START_MARGIN * 3);
            set_endpoints(cluster, Faults::default());
        },
        ..NO_FAULT
    },
    Case {
        name: "sidecars killed after the dispatch",
        delay: Millis(300),
        during: |cluster, baseline| {
            baseline.wait_for_start(cluster);
            for node in &mut cluster.service_sidecars {
                node.process.kill();
                node.process.restart();
            }
        },
        outcome: FinalOutcome::Unknown,
        ..NO_FAULT
    },
];

const LOG: &[Case] = &[
    Case {
        name: "the answer to the append of the claim is lost",
        before: |cluster| {
            cluster.log.control(LogCommand::LoseAnswers {
                stream: Stream::Calls,
                count: 1,
            });
        },
        ..NO_FAULT
    },
    Case {
        name: "the log refuses",
        before: |cluster| cluster.log.control(LogCommand::Outage(Outage::Refusing)),
        during: |cluster, _| {
            std::thread::sleep(CALL_START_MARGIN * 2);
            cluster.log.control(LogCommand::Outage(Outage::Up));
        },
        first: &[0, 1],
        ..NO_FAULT
    },
    Case {
        name: "the log is unresponsive",
        before: |cluster| cluster.log.control(LogCommand::Outage(Outage::Hanging)),
        during: |cluster, _| {
            std::thread::sleep(CALL_START_MARGIN * 2);
            cluster.log.control(LogCommand::Outage(Outage::Up));
        },
        first: &[0, 1],
        ..NO_FAULT
    },
    Case {
        name: "the log fails between the dispatch and the outcome",
        delay: Millis(300),
        during: |cluster, baseline| {
            baseline.wait_for_start(cluster);
            cluster.log.control(LogCommand::Outage(Outage::Refusing));
            std::thread::sleep(CALL_START_MARGIN * 2);
            cluster.log.control(LogCommand::Outage(Outage::Up));
        },
        ..NO_FAULT
    },
];

fn start() -> Cluster {
    let cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 1,
        services: 2,
        proxy_peers: true,
        proxy_log: true,
        proxy_endpoints: true,
        settings: json!({ "traffic_threads": 1 }),
        ..Spec::default()
    });
    wait_until_served(&cluster);
    cluster
}

fn wait_until_served(cluster: &Cluster) {
    let caller = Caller::of(cluster);
    for entry in 0..cluster.entries.len() {
        wait::until("idempotent calls are served", || {
            let answer = caller.call(entry, &Method::GET, "", "");
            answer.is_ok_and(|answer| answer.status == 200)
        });
    }
}

/// Retries the call until the entry reports its final outcome.
fn retry_until_final(
    caller: &Caller,
    entry: usize,
    case: &Case,
    text: &str,
) -> (FinalOutcome, String) {
    let mut outcome = None;
    wait::until("the final outcome of the call is reported", || {
        let Ok(answer) = caller.call(entry, &Method::POST, text, text) else {
            std::thread::sleep(RETRY_PAUSE);
            return false;
        };
        if answer.status == 201 {
            outcome = Some((FinalOutcome::Answer, answer.text()));
        } else if answer.json()["code"] == OUTCOME_UNKNOWN_CODE && !case.unknown_at_first {
            outcome = Some((FinalOutcome::Unknown, String::new()));
        } else {
            std::thread::sleep(RETRY_PAUSE);
        }
        outcome.is_some()
    });
    outcome.unwrap()
}

fn run(cluster: &mut Cluster, case: &Case) {
    let caller = Caller::of(cluster);
    let text = case.name.replace(' ', "-");
    for service in &cluster.services {
        service.control(ServiceCommand::Delay(case.delay));
    }
    let baseline = Baseline::now(cluster);
    (case.before)(cluster);
    let (outcome, first_answers) = std::thread::scope(|scope| {
        let calls = || {
            let calls = case.first.len();
            http::concurrently(calls, |i| {
                caller.call(case.first[i], &Method::POST, &text, &text)
            })
        };
        let calls = scope.spawn(calls);
        (case.during)(cluster, &baseline);
        let outcome = retry_until_final(&caller, 1, case, &text);
        (case.after)(cluster);
        (outcome, calls.join().unwrap())
    });
    assert_eq!(outcome.0, case.outcome, "{}", case.name);
    wait_until_served(cluster);
    let mut answers = HashSet::from([outcome.1.clone()]);
    for entry in 0..2 {
        answers.insert(retry_until_final(&caller, entry, case, &text).1);
    }
    for first in first_answers.into_iter().flatten() {
        if first.status == 201 {
            answers.insert(first.text());
        }
    }
    assert_eq!(answers.len(), 1, "{}: {answers:?}", case.name);
    let executions = caller::executions(cluster, &text);
    let once = executions == 1 || (executions == 0 && case.outcome == FinalOutcome::Unknown);
    assert!(once, "{}: ran {executions} times", case.name);
    let other = caller
        .call(1, &Method::POST, &text, "another-body")
        .unwrap();
    assert_eq!(
        other.json()["code"],
        2006,
        "{}: {}",
        case.name,
        other.text()
    );
    assert_eq!(
        caller::executions(cluster, "another-body"),
        0,
        "{}",
        case.name
    );
}

fn run_all(cases: &[Case]) {
    let mut cluster = start();
    for case in cases {
        run(&mut cluster, case);
    }
}

/// Guards against a call that runs again through another entry, or that is lost, when
/// the first entry is killed or paused at any point of the call.
#[test]
fn calls_run_once_when_entries_fail() {
    run_all(ENTRY_KILLED);
}

/// Guards against a second execution when links, sidecars or the service lose answers,
/// and when a key is used at two entries concurrently.
#[test]
fn calls_run_once_on_bad_links() {
    run_all(LINKS);
}

/// Guards against a second execution when the log is unavailable or loses answers.
#[test]
fn calls_run_once_when_the_log_fails() {
    run_all(LOG);
}
