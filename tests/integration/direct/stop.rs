//! Start, planned stop and overload of an entry.

use std::io::Write;
use std::thread;
use std::time::Duration;

use hyper::Method;
use quetzalworks::gateway::OverloadDetector;
use quetzalworks::runtime::Moment;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::direct::world::config;
use crate::testing::{raw, wait};

/// Guards against a planned stop that interrupts a request, and against an entry that
/// stays ready during the stop.
#[test]
fn planned_stop_completes_requests() {
    let slow = Behaviour::Slow(Duration::from_millis(1_200), "late");
    let desk = Endpoint::spawn("desk-1", &[], slow);
    let mut site = Site::spawn(&[("desk", &desk)]);
    thread::scope(|scope| {
        let early = scope.spawn(|| site.call(&Method::POST, "/hold/a", "id-1").unwrap());
        wait::until("the request is in progress", || desk.received().len() == 1);
        site.process.terminate();
        wait::until("the entry takes itself out of rotation", || {
            !site.is_ready()
        });
        // Callers that do not know about the stop yet are still served.
        let late = site.call(&Method::POST, "/hold/a", "id-2").unwrap();
        assert_eq!((late.status, late.text().as_str()), (200, "late"));
        assert_eq!(late.header("connection"), Some("close"));
        let early = early.join().unwrap();
        assert_eq!((early.status, early.text().as_str()), (200, "late"));
    });
    assert!(site.process.wait_exit().success());
}

/// Guards against requests that are passed on late in a planned stop and cut off at its
/// end, and against a connection that closes without an answer.
#[test]
fn a_planned_stop_answers_every_request() {
    struct Case {
        name: &'static str,
        /// Time from the signal to the head of the request, and from there to its body.
        head_after_ms: u64,
        body_after_ms: u64,
        status: &'static str,
        is_passed_on: bool,
    }
    let cases = [
        Case {
            name: "in progress until the end of the grace period",
            head_after_ms: 0,
            body_after_ms: 0,
            status: "HTTP/1.1 502",
            is_passed_on: true,
        },
        Case {
            name: "the body comes late in the grace period",
            head_after_ms: 1_000,
            body_after_ms: 3_500,
            status: "HTTP/1.1 503",
            is_passed_on: false,
        },
        Case {
            name: "comes late in the grace period",
            head_after_ms: 4_500,
            body_after_ms: 0,
            status: "HTTP/1.1 503",
            is_passed_on: false,
        },
    ];
    let mut config = config(1);
    for route in config["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = 20_000.into();
    }
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Silent);
    let mut site = Site::with_config(&[("desk", &desk)], &config);
    site.process.terminate();
    let callers = site.callers;
    thread::scope(|scope| {
        for (i, case) in cases.iter().enumerate() {
            let desk = &desk;
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(case.head_after_ms));
                let head = format!(
                    "POST /hold/a HTTP/1.1\r\nHost: example.test\r\nAttempt-Id: id-{i}\r\n\
                     Deadline-Ms: 20000\r\nKey: key-red\r\nConnection: close\r\n\
                     Content-Length: 4\r\n\r\n"
                );
                let mut tcp = raw::open(callers, head.as_bytes());
                thread::sleep(Duration::from_millis(case.body_after_ms));
                let _ = tcp.write_all(b"body");
                let answer = raw::read_to_close(tcp);
                assert!(answer.starts_with(case.status), "{}: {answer}", case.name);
                let id = format!("id-{i}");
                let mut received = desk.received().into_iter();
                let is_passed_on =
                    received.any(|received| received.header("attempt-id") == Some(&id));
                assert_eq!(is_passed_on, case.is_passed_on, "{}", case.name);
            });
        }
    });
    assert!(site.process.wait_exit().success());
}

/// Guards against refusals right after the start of a process, before it has read its
/// configuration.
#[test]
fn requests_wait_for_the_first_configuration() {
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
    let mut site = Site::spawn(&[("desk", &desk)]);
    for i in 0..5 {
        site.process.restart();
        let mut first = None;
        wait::until("the process answers", || {
            first = site.call(&Method::GET, "/look/a", &format!("id-{i}")).ok();
            first.is_some()
        });
        assert_eq!(first.unwrap().status, 200, "start {i}");
    }
}

/// Guards against an entry that is not ready after a single late timer, and one that
/// stays ready although its work waits for a processor.
#[test]
fn consecutive_late_timers_count_as_overload() {
    struct Case {
        name: &'static str,
        /// Lateness of consecutive timers, one every 100 ms.
        late_ms: &'static [u64],
        /// Time from the last timer to the check.
        checked_after_ms: u64,
        is_overloaded: bool,
    }
    let cases = [
        Case {
            name: "in time",
            late_ms: &[0, 5, 40, 90],
            checked_after_ms: 0,
            is_overloaded: false,
        },
        Case {
            name: "suspended once",
            late_ms: &[0, 4_000, 0],
            checked_after_ms: 0,
            is_overloaded: false,
        },
        Case {
            name: "late twice, but not consecutively",
            late_ms: &[200, 0, 200, 0],
            checked_after_ms: 0,
            is_overloaded: false,
        },
        Case {
            name: "late twice consecutively",
            late_ms: &[0, 200, 150, 0],
            checked_after_ms: 1_000,
            is_overloaded: true,
        },
        Case {
            name: "overload has passed",
            late_ms: &[200, 150, 0],
            checked_after_ms: 3_000,
            is_overloaded: false,
        },
    ];
    for case in cases {
        let mut detector = OverloadDetector::default();
        let mut now = Moment::from_millis(1_000_000);
        for late in case.late_ms {
            let late = Duration::from_millis(*late);
            now = now.saturating_add(Duration::from_millis(100) + late);
            detector.record_timer(late, now);
        }
        let checked_at = now.saturating_add(Duration::from_millis(case.checked_after_ms));
        assert_eq!(
            detector.is_overloaded(checked_at),
            case.is_overloaded,
            "{}",
            case.name
        );
    }
}

/// Guards against an entry that stays ready without processor time, and one that never
/// becomes ready again.
#[test]
fn overloaded_entry_is_not_ready_for_a_while() {
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
    let site = Site::spawn(&[("desk", &desk)]);
    let mut answer = None;
    wait::until("the entry is not ready", || {
        // Suspended repeatedly, with pauses too short for the timer.
        for _ in 0..3 {
            site.process.suspend();
            thread::sleep(Duration::from_millis(300));
            site.process.resume();
            thread::sleep(Duration::from_millis(40));
        }
        answer = site.call(&Method::GET, "/look/a", "id-1").ok();
        !site.is_ready()
    });
    let answer = answer.unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (200, "good"));
    assert_eq!(answer.header("connection"), Some("close"));
    wait::until("the entry is ready again", || site.is_ready());
    for message in ["work waits for the processor", "work begins in time again"] {
        wait::until("the log shows both messages", || {
            !site.process.lines_with(message).is_empty()
        });
    }
}
