//! Requests that crash endpoints at visits to one entry after the other.

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use hyper::Method;
use quetzalworks::ids::{EndpointId, Fingerprint};
use quetzalworks::platform::endpoint_record;
use quetzalworks::poison::{Doubts, Suspect, VisitHandle, VisitStage};
use quetzalworks::runtime::Moment;
use quetzalworks::standin::{LogCommand, Outage};
use serde_json::{Value, json};

use crate::direct::endpoint::{Behaviour, Endpoint, Received};
use crate::direct::site::{Site, is_ready, put_endpoint};
use crate::direct::world::config;
use crate::testing::{isolation, raw, wait};

/// Time in which a caller that leaves has sent its request.
const LEAVES_AFTER: Duration = Duration::from_millis(150);

struct Case {
    name: &'static str,
    /// Maximum number of endpoints for a visit.
    max_attempts: u32,
    /// Time after which an endpoint crashes that has begun to run the request.
    delay: Duration,
    /// Time for which it accepts connections after it has closed that of the request.
    lingers: Duration,
    /// Endpoints that crash at each visit.
    endpoints: &'static [&'static [&'static str]],
    /// Whether the caller leaves before its answer.
    leaves: bool,
    /// Whether the store takes no report in the second after the last crash.
    outage: bool,
}

const CASE: Case = Case {
    name: "",
    max_attempts: 3,
    delay: Duration::ZERO,
    lingers: Duration::ZERO,
    endpoints: &[&["a"], &["b"], &["c"]],
    leaves: false,
    outage: false,
};

/// An endpoint that crashes some time after it has read a request.
struct Crasher {
    endpoint: Endpoint,
    has_begun: Arc<AtomicBool>,
}

impl Crasher {
    fn spawn(id: &'static str, case: &Case) -> Self {
        let listener = TcpListener::bind(isolation::free_addr()).unwrap();
        let endpoint = Endpoint::at(id, listener.local_addr().unwrap());
        let has_begun = Arc::new(AtomicBool::new(false));
        let begun = Arc::clone(&has_begun);
        let (delay, lingers) = (case.delay, case.lingers);
        thread::spawn(move || {
            let (mut tcp, _) = listener.accept().unwrap();
            let read = tcp.read(&mut [0; 4_096]);
            begun.store(true, Ordering::SeqCst);
            thread::sleep(delay);
            drop((read, tcp));
            thread::sleep(lingers);
            drop(listener);
        });
        Self {
            endpoint,
            has_begun,
        }
    }

    fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::SeqCst)
    }
}

/// Configuration with a route whose visits may go to so many endpoints.
fn limited(max_attempts: u32) -> Value {
    let mut config = config(1);
    let route = json!({
        "Name": "r-few", "Host": "example.test", "PathPrefix": "/few/", "Kind": "idempotent",
        "TimeoutMs": 1200, "TargetLatencyMs": 150, "Service": "desk", "MaxAttempts": max_attempts,
    });
    config["Routes"].as_array_mut().unwrap().push(route);
    config
}

fn check(case: &Case) {
    let name = case.name;
    let first = Endpoint::spawn("first", &[], Behaviour::Echo(Duration::ZERO));
    let site = Site::with_config(&[("desk", &first)], &limited(case.max_attempts));
    let others = ["edge-north-2", "edge-north-3"].map(|name| site.start_entry(name));
    for other in &others {
        wait::until("the entry is ready", || is_ready(other.readiness));
    }
    let entries = [site.callers, others[0].callers, others[1].callers];
    let ask = |callers, path| {
        let headers = [("key", "key-red")];
        Site::call_at(callers, &Method::GET, path, "id", &headers)
    };
    site.store.put(endpoint_record::TOPIC, "first", None);
    for callers in entries {
        wait::until("the first endpoint is gone", || {
            ask(callers, "/few/sound").is_ok_and(|answer| answer.status == 503)
        });
    }
    let processes = [&site.process, &others[0].process, &others[1].process];
    for (i, ids) in case.endpoints.iter().enumerate() {
        let callers = entries[i];
        let is_outage = case.outage && i + 1 == case.endpoints.len();
        let crashers: Vec<_> = ids.iter().map(|id| Crasher::spawn(id, case)).collect();
        for crasher in &crashers {
            put_endpoint(&site.store, "desk", &crasher.endpoint, 1);
        }
        if is_outage {
            wait::until("the endpoints are known", || {
                let is_known = |id| {
                    let line = format!("\"endpoint\":\"{id}\"");
                    !processes[i].lines_with(&line).is_empty()
                };
                ids.iter().all(is_known)
            });
            site.store.control(LogCommand::Outage(Outage::Refusing));
        }
        wait::until("the endpoints crash", || {
            if case.leaves {
                let request = "GET /few/poison HTTP/1.1\r\nhost: example.test\r\n\
                    attempt-id: id\r\ndeadline-ms: 4000\r\nkey: key-red\r\n\
                    content-length: 19\r\n\r\nbody of the request";
                let caller = raw::open(callers, request.as_bytes());
                thread::sleep(LEAVES_AFTER);
                drop(caller);
            } else {
                let _ = ask(callers, "/few/poison");
            }
            crashers.iter().all(Crasher::has_begun)
        });
        if is_outage {
            thread::sleep(Duration::from_secs(1));
            site.store.control(LogCommand::Outage(Outage::Up));
        }
    }
    // Without further requests, by which an entry would find what it has missed.
    for (process, callers) in processes.into_iter().zip(entries) {
        wait::until(name, || !process.lines_with("\"refused\":true").is_empty());
        let answer = ask(callers, "/few/poison").unwrap();
        assert_eq!(answer.status, 503, "{name}");
        assert_eq!(answer.json()["title"], "crash_suspect", "{name}");
    }
    // Sound requests are served, also those that came beside the others.
    let next = Endpoint::spawn("next", &[], Behaviour::Echo(Duration::ZERO));
    put_endpoint(&site.store, "desk", &next, 1);
    for callers in entries {
        wait::until("sound requests are served", || {
            ask(callers, "/few/sound").is_ok_and(|answer| answer.status == 200)
        });
        assert_eq!(ask(callers, "/few/poison").unwrap().status, 503, "{name}");
    }
    let received = next.received();
    let mut paths = received.iter().map(Received::path);
    assert!(paths.all(|path| path == "/few/sound"), "{name}");
}

/// Guards against a request that crashes endpoints through all entries, as each of them takes
/// what it has seen for coincidence, or does not see it.
#[test]
fn crashes_are_told_to_all_entries_when_a_visit_goes_unanswered() {
    let cases = [
        Case {
            name: "one attempt",
            max_attempts: 1,
            ..CASE
        },
        Case {
            name: "no other endpoint",
            ..CASE
        },
        Case {
            name: "no time for another attempt",
            delay: Duration::from_millis(1_190),
            ..CASE
        },
        Case {
            name: "the attempts are given up before the crashes",
            delay: Duration::from_secs(1),
            endpoints: &[&["a", "b", "c"]],
            ..CASE
        },
        Case {
            name: "the caller leaves before the crash",
            delay: Duration::from_millis(600),
            leaves: true,
            ..CASE
        },
        Case {
            name: "connections are accepted after the crash",
            lingers: Duration::from_millis(150),
            ..CASE
        },
        Case {
            name: "the store takes no report at first",
            outage: true,
            ..CASE
        },
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(move || check(case));
        }
    });
}

/// Guards against crashes of a visit that are never published, as they are found around its
/// end, and against those of a request that was answered.
#[test]
fn a_crash_counts_by_how_its_visit_ended() {
    struct Case {
        /// `c`: an endpoint crashes; `a`: the request is answered; `e`: the visit ends.
        steps: &'static str,
        /// `o`, `u`: a crash is reported, with the stage; `e`: the end of the visit is.
        reported: &'static str,
    }
    let case = |steps, reported| Case { steps, reported };
    let cases = [
        case("e", ""),
        case("ae", ""),
        case("ce", "oe"),
        case("cee", "oe"),
        case("cce", "ooe"),
        case("cae", "o"),
        case("ace", ""),
        case("ec", "u"),
        case("eac", "u"),
        case("cec", "oeu"),
        case("aec", ""),
    ];
    for case in cases {
        let visit = VisitHandle::default();
        let mut reported = String::new();
        for step in case.steps.chars() {
            match step {
                'c' => visit.record_crash(|stage| {
                    reported.push(match stage {
                        VisitStage::Ongoing => 'o',
                        VisitStage::Unanswered => 'u',
                    });
                }),
                'a' => visit.answer(),
                _ => visit.end(|| reported.push('e')),
            }
        }
        assert_eq!(reported, case.reported, "{}", case.steps);
    }
}

/// Guards against executions that are forgotten while their endpoint may crash, and against
/// endpoints that are looked at for ever.
#[test]
fn executions_that_were_given_up_are_kept_while_they_may_run() {
    struct Case {
        name: &'static str,
        /// Time until which each execution may run, and whether its request is answered.
        executions: &'static [(u64, bool)],
        /// When the endpoint was last seen alive.
        checked: u64,
        /// Number of requests that are suspected if it crashes after that.
        suspected: usize,
    }
    let case = |name, executions, checked, suspected| Case {
        name,
        executions,
        checked,
        suspected,
    };
    let cases = [
        case("runs", &[(1_000, false)], 500, 1),
        case("may have crashed at its end", &[(1_000, false)], 999, 1),
        case("over", &[(1_000, false)], 1_000, 0),
        case("answered elsewhere", &[(1_000, true)], 500, 0),
        case("one over, one not", &[(300, false), (900, false)], 500, 1),
        case(
            "some over, some answered",
            &[(300, false), (900, false), (800, true), (700, false)],
            500,
            2,
        ),
        case("many", &[(1_000, false); 100], 500, 64),
    ];
    let endpoint: EndpointId = "a".parse().unwrap();
    for case in cases {
        let mut doubts = Doubts::default();
        for (number, (until, is_answered)) in case.executions.iter().enumerate() {
            let visit = VisitHandle::default();
            if *is_answered {
                visit.answer();
            }
            let suspect = Suspect {
                service: "desk".parse().unwrap(),
                request: Fingerprint(number as u64),
                parts: Vec::new(),
                visit,
            };
            let is_first = doubts.add(&endpoint, suspect, Moment::from_millis(*until));
            assert_eq!(is_first, number == 0, "{}", case.name);
        }
        let is_left = doubts.retain(&endpoint, Moment::from_millis(case.checked));
        assert_eq!(is_left, case.suspected > 0, "{}", case.name);
        assert_eq!(
            doubts.take(&endpoint).len(),
            case.suspected,
            "{}",
            case.name
        );
        assert!(doubts.take(&endpoint).is_empty(), "{}", case.name);
    }
}
