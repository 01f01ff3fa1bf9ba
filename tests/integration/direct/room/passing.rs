//! Requests beside a line whose first cannot go.

use quetzalworks::room::{Opening, ServiceRoom, Turn, Verdict};
use quetzalworks::runtime::Moment;

use crate::direct::balance::NOW;
use crate::direct::room::last_resort::{ask, at, ms, supply};

/// Guards against requests that wait or are refused behind others whose endpoints are closed,
/// and against one that passes a request which could go.
#[test]
fn a_waiter_that_cannot_go_holds_up_no_request_that_can() {
    const SOON: Opening = Opening::At(Moment::from_millis(NOW + 80));
    struct Case {
        name: &'static str,
        /// Waiting requests whose endpoints are closed, and that could go.
        closed: usize,
        ready: usize,
        /// Whether the one that asks finds an open endpoint.
        is_open: bool,
        objective_left_ms: u64,
        expected: &'static str,
    }
    let case = |name, closed, ready, is_open, objective_left_ms, expected| Case {
        name,
        closed,
        ready,
        is_open,
        objective_left_ms,
        expected,
    };
    let cases = [
        case("one closed", 1, 0, true, 1_000, "send"),
        case("one ready", 0, 1, true, 1_000, "wait"),
        case("many closed", 20, 1, true, 500, "wait"),
        case("all closed, in time", 20, 0, false, 1_000, "wait"),
        case("all closed, too late", 20, 0, false, 500, "refuse"),
    ];
    for case in cases {
        let mut room = ServiceRoom::default();
        let mut join = |supply_then| {
            let Verdict::Wait(ticket) = room.ask(&ask(), &supply(&[SOON]), at(0)) else {
                panic!("{}: does not wait", case.name);
            };
            room.turn(ticket, &supply(supply_then), at(0))
        };
        // The first goes, and the pace holds back those after it.
        assert!(matches!(join(&[Opening::Now]), Turn::Send(_)));
        let mut turns: Vec<_> = (0..case.closed).map(|_| join(&[SOON])).collect();
        turns.extend((0..case.ready).map(|_| join(&[Opening::Now])));
        assert!(turns.iter().all(|turn| matches!(turn, Turn::Wait(..))));
        let mut one = ask();
        one.objective_left = ms(case.objective_left_ms);
        let opening = if case.is_open { Opening::Now } else { SOON };
        let verdict = match room.ask(&one, &supply(&[opening]), at(0)) {
            Verdict::Send => "send",
            Verdict::Wait(_) => "wait",
            Verdict::Refuse => "refuse",
        };
        assert_eq!(verdict, case.expected, "{}", case.name);
    }
}
