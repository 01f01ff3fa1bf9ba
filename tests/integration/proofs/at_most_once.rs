//! I9: a non-idempotent call runs at most once.

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

/// Time after which a call that cannot make progress has certainly begun.
const BEGUN: Duration = Duration::from_millis(300);
/// Pause before a caller asks again.
const PAUSE: Duration = Duration::from_millis(50);
/// Result code of a call whose outcome is unknown.
const UNKNOWN: u64 = 2008;

/// What the caller is told in the end, at each entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Final {
    /// The answer; the call ran once.
    Answer,
    /// The outcome is unknown; the call ran at most once.
    Unknown,
}

struct Case {
    name: &'static str,
    /// Time that the service takes.
    delay: Millis,
    before: fn(&mut Cluster),
    /// Entries through which the call is sent at the same moment.
    first: &'static [usize],
    during: fn(&mut Cluster, &Seen),
    /// Runs after another entry has given its final answer.
    after: fn(&mut Cluster),
    /// Whether the outcome may be unknown until the sidecar can be asked again.
    unknown_at_first: bool,
    end: Final,
}

const QUIET: Case = Case {
    name: "",
    delay: Millis(0),
    before: |_| (),
    first: &[0],
    during: |_, _| (),
    after: |_| (),
    unknown_at_first: false,
    end: Final::Answer,
};

/// What was on record before the case.
struct Seen {
    claims: usize,
    starts: usize,
}

impl Seen {
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

fn no_answers() -> Faults {
    Faults {
        cut_to_client: true,
        ..Faults::default()
    }
}

fn no_requests() -> Faults {
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
        before: |cluster| set_log(cluster, 0, no_requests()),
        during: |cluster, _| {
            std::thread::sleep(BEGUN);
            cluster.entries[0].process.kill();
        },
        after: restart_entry,
        ..QUIET
    },
    Case {
        name: "entry killed after the claim, before the dispatch",
        before: |cluster| set_log(cluster, 0, no_answers()),
        during: |cluster, seen| {
            seen.wait_for_claim(cluster);
            cluster.entries[0].process.kill();
        },
        after: restart_entry,
        ..QUIET
    },
    Case {
        name: "entry killed after the dispatch",
        delay: Millis(600),
        during: |cluster, seen| {
            seen.wait_for_start(cluster);
            cluster.entries[0].process.kill();
        },
        after: restart_entry,
        ..QUIET
    },
    Case {
        name: "entry killed after the answer, before the outcome is on record",
        delay: Millis(300),
        during: |cluster, seen| {
            seen.wait_for_start(cluster);
            set_log(cluster, 0, no_requests());
            std::thread::sleep(BEGUN * 2);
            cluster.entries[0].process.kill();
        },
        after: restart_entry,
        ..QUIET
    },
    Case {
        name: "entry paused after the claim, its dispatch comes late",
        before: |cluster| set_log(cluster, 0, no_answers()),
        during: |cluster, seen| {
            seen.wait_for_claim(cluster);
            cluster.entries[0].process.freeze();
            set_log(cluster, 0, Faults::default());
        },
        after: |cluster| cluster.entries[0].process.thaw(),
        ..QUIET
    },
];

const LINKS: &[Case] = &[
    Case {
        name: "both entries at the same moment",
        delay: Millis(50),
        first: &[0, 1, 0, 1, 0, 1],
        ..QUIET
    },
    Case {
        name: "both entries at the same moment, bad links",
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
        ..QUIET
    },
    Case {
        name: "the sidecars' answers are lost, their requests arrive",
        delay: Millis(300),
        during: |cluster, seen| {
            seen.wait_for_start(cluster);
            set_peers(cluster, no_answers());
            std::thread::sleep(BEGUN * 10);
            set_peers(cluster, Faults::default());
        },
        unknown_at_first: true,
        ..QUIET
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
        end: Final::Unknown,
        ..QUIET
    },
    Case {
        name: "the service's answer is held back and comes late",
        delay: Millis(100),
        during: |cluster, seen| {
            seen.wait_for_start(cluster);
            set_endpoints(cluster, no_answers());
            std::thread::sleep(BEGUN * 3);
            set_endpoints(cluster, Faults::default());
        },
        ..QUIET
    },
    Case {
        name: "sidecars killed after the dispatch",
        delay: Millis(300),
        during: |cluster, seen| {
            seen.wait_for_start(cluster);
            for node in &mut cluster.service_sidecars {
                node.process.kill();
                node.process.restart();
            }
        },
        end: Final::Unknown,
        ..QUIET
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
        ..QUIET
    },
    Case {
        name: "the log refuses",
        before: |cluster| cluster.log.control(LogCommand::Outage(Outage::Refusing)),
        during: |cluster, _| {
            std::thread::sleep(BEGUN * 2);
            cluster.log.control(LogCommand::Outage(Outage::Up));
        },
        first: &[0, 1],
        ..QUIET
    },
    Case {
        name: "the log hangs",
        before: |cluster| cluster.log.control(LogCommand::Outage(Outage::Hanging)),
        during: |cluster, _| {
            std::thread::sleep(BEGUN * 2);
            cluster.log.control(LogCommand::Outage(Outage::Up));
        },
        first: &[0, 1],
        ..QUIET
    },
    Case {
        name: "the log fails between the dispatch and the outcome",
        delay: Millis(300),
        during: |cluster, seen| {
            seen.wait_for_start(cluster);
            cluster.log.control(LogCommand::Outage(Outage::Refusing));
            std::thread::sleep(BEGUN * 2);
            cluster.log.control(LogCommand::Outage(Outage::Up));
        },
        ..QUIET
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
        wait::until("look-ups are served", || {
            let answer = caller.call(entry, &Method::GET, "", "");
            answer.is_ok_and(|answer| answer.status == 200)
        });
    }
}

/// Repeats the call until its end is told.
fn until_final(caller: &Caller, entry: usize, case: &Case, text: &str) -> (Final, String) {
    let mut end = None;
    wait::until("the end of the call is told", || {
        let Ok(answer) = caller.call(entry, &Method::POST, text, text) else {
            std::thread::sleep(PAUSE);
            return false;
        };
        if answer.status == 201 {
            end = Some((Final::Answer, answer.text()));
        } else if answer.json()["code"] == UNKNOWN && !case.unknown_at_first {
            end = Some((Final::Unknown, String::new()));
        } else {
            std::thread::sleep(PAUSE);
        }
        end.is_some()
    });
    end.unwrap()
}

fn run(cluster: &mut Cluster, case: &Case) {
    let caller = Caller::of(cluster);
    let text = case.name.replace(' ', "-");
    for service in &cluster.services {
        service.control(ServiceCommand::Delay(case.delay));
    }
    let seen = Seen::now(cluster);
    (case.before)(cluster);
    let (end, firsts) = std::thread::scope(|scope| {
        let calls = || {
            let calls = case.first.len();
            http::concurrently(calls, |i| {
                caller.call(case.first[i], &Method::POST, &text, &text)
            })
        };
        let calls = scope.spawn(calls);
        (case.during)(cluster, &seen);
        let end = until_final(&caller, 1, case, &text);
        (case.after)(cluster);
        (end, calls.join().unwrap())
    });
    assert_eq!(end.0, case.end, "{}", case.name);
    wait_until_served(cluster);
    let mut answers = HashSet::from([end.1.clone()]);
    for entry in 0..2 {
        answers.insert(until_final(&caller, entry, case, &text).1);
    }
    for first in firsts.into_iter().flatten() {
        if first.status == 201 {
            answers.insert(first.text());
        }
    }
    assert_eq!(answers.len(), 1, "{}: {answers:?}", case.name);
    let ran = caller::executions(cluster, &text);
    let once = ran == 1 || (ran == 0 && case.end == Final::Unknown);
    assert!(once, "{}: ran {ran} times", case.name);
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

/// Guards against a call that runs again at another entry, or that is lost,
/// when the first entry is killed or paused at any point of the call.
#[test]
fn calls_run_once_when_entries_fail() {
    run_all(ENTRY_KILLED);
}

/// Guards against a second execution when links, sidecars or the service
/// lose answers, and when a key is used at two entries at the same moment.
#[test]
fn calls_run_once_on_bad_links() {
    run_all(LINKS);
}

/// Guards against a second execution when the log is down or loses answers.
#[test]
fn calls_run_once_when_the_log_fails() {
    run_all(LOG);
}
