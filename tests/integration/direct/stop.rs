//! Starts, planned stops and processes that get no processor.

use std::thread;
use std::time::Duration;

use hyper::Method;
use quetzalworks::gateway::OverloadDetector;
use quetzalworks::runtime::Moment;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::testing::wait;

/// Guards against a planned stop that cuts a request, and against one that
/// still asks for callers.
#[test]
fn a_planned_stop_cuts_no_request() {
    let slow = Behaviour::Slow(Duration::from_millis(1_200), "late");
    let desk = Endpoint::spawn("desk-1", &[], slow);
    let mut site = Site::spawn(&[("desk", &desk)]);
    thread::scope(|scope| {
        let early = scope.spawn(|| site.call(&Method::POST, "/hold/a", "id-1").unwrap());
        wait::until("the request runs", || desk.received().len() == 1);
        site.process.terminate();
        wait::until("the entry takes itself out of rotation", || {
            !site.is_ready()
        });
        // Callers that have not heard of it yet are still served.
        let late = site.call(&Method::POST, "/hold/a", "id-2").unwrap();
        assert_eq!((late.status, late.text().as_str()), (200, "late"));
        assert_eq!(late.header("connection"), Some("close"));
        let early = early.join().unwrap();
        assert_eq!((early.status, early.text().as_str()), (200, "late"));
    });
    assert!(site.process.wait_exit().success());
}

/// Guards against refusals of requests that arrive in the first moments of a
/// process, before it has read its configuration.
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

/// Guards against an entry that sends callers away for one late moment, and
/// one that keeps them although its work waits for the processor.
#[test]
fn late_timers_in_a_row_are_a_strain() {
    struct Case {
        name: &'static str,
        /// Lateness of the timers, one every 100 ms.
        late_ms: &'static [u64],
        /// Time from the last timer to the question.
        asked_after_ms: u64,
        strained: bool,
    }
    let cases = [
        Case {
            name: "in time",
            late_ms: &[0, 5, 40, 90],
            asked_after_ms: 0,
            strained: false,
        },
        Case {
            name: "stopped for a moment",
            late_ms: &[0, 4_000, 0],
            asked_after_ms: 0,
            strained: false,
        },
        Case {
            name: "late again after a timer in time",
            late_ms: &[200, 0, 200, 0],
            asked_after_ms: 0,
            strained: false,
        },
        Case {
            name: "late twice in a row",
            late_ms: &[0, 200, 150, 0],
            asked_after_ms: 1_000,
            strained: true,
        },
        Case {
            name: "over",
            late_ms: &[200, 150, 0],
            asked_after_ms: 3_000,
            strained: false,
        },
    ];
    for case in cases {
        let mut detector = OverloadDetector::default();
        let mut now = Moment::from_millis(1_000_000);
        for late in case.late_ms {
            let late = Duration::from_millis(*late);
            now = now.after(Duration::from_millis(100) + late);
            detector.record_timer(late, now);
        }
        let asked = now.after(Duration::from_millis(case.asked_after_ms));
        assert_eq!(
            detector.is_overloaded(asked),
            case.strained,
            "{}",
            case.name
        );
    }
}

/// Guards against a process without processor time that keeps its callers, and
/// one that never takes them again.
#[test]
fn a_strained_entry_sends_callers_elsewhere_for_a_while() {
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
    let site = Site::spawn(&[("desk", &desk)]);
    let mut answer = None;
    wait::until("the entry is not ready", || {
        // Stopped over and over, with moments too short for the timer between.
        for _ in 0..3 {
            site.process.freeze();
            thread::sleep(Duration::from_millis(300));
            site.process.thaw();
            thread::sleep(Duration::from_millis(40));
        }
        answer = site.call(&Method::GET, "/look/a", "id-1").ok();
        !site.is_ready()
    });
    let answer = answer.unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (200, "good"));
    assert_eq!(answer.header("connection"), Some("close"));
    wait::until("the entry is ready again", || site.is_ready());
    for told in ["work waits for the processor", "work begins in time again"] {
        wait::until("the log tells both", || {
            !site.process.lines_with(told).is_empty()
        });
    }
}
