//! Order of waiting requests, and what a refused caller is told.

use std::time::Duration;

use quetzalworks::room::{Claim, Line, Opening, Outlook, Place, Supply};
use quetzalworks::runtime::Moment;
use quetzalworks::units::Share;

use crate::direct::balance::NOW;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(NOW + millis)
}

fn claim(team: &str, priority: u8, work_ms: u64) -> Claim {
    Claim {
        priority,
        team: Some(team.parse().unwrap()),
        work: ms(work_ms),
        patience: ms(1_000),
    }
}

/// Guards against a request that never gets its turn: of a less urgent kind, of a team beside
/// one that sends without end, or one that takes much work.
#[test]
fn no_waiting_request_starves() {
    struct Case {
        name: &'static str,
        /// The request that has to get its turn.
        one: Claim,
        /// Requests of which so many join at each step, and one gets its turn.
        others: Claim,
        joins: usize,
        /// Latest step of 10 ms at which it has had its turn.
        max_steps: u64,
    }
    let cases = [
        Case {
            name: "a less urgent kind",
            one: claim("a", 3, 10),
            others: claim("a", 0, 10),
            joins: 2,
            max_steps: 99,
        },
        Case {
            name: "a team beside one that sends twice what fits",
            one: claim("a", 1, 10),
            others: claim("b", 1, 10),
            joins: 2,
            max_steps: 4,
        },
        Case {
            name: "much work",
            one: claim("a", 1, 100),
            others: claim("b", 1, 10),
            joins: 1,
            max_steps: 4,
        },
        Case {
            name: "much work in the middle of its team's requests",
            one: claim("a", 1, 100),
            others: claim("a", 1, 10),
            joins: 1,
            max_steps: 4,
        },
    ];
    for case in cases {
        let mut line = Line::default();
        let mut tickets = Vec::new();
        // Two others are ahead of it.
        for _ in 0..2 {
            tickets.push(line.join(case.others.clone(), at(0)));
        }
        let one = line.join(case.one.clone(), at(0));
        let key = one.key();
        tickets.push(one);
        let step = (0..200).find(|step| {
            let now = at(step * 10);
            for _ in 0..case.joins {
                tickets.push(line.join(case.others.clone(), now));
            }
            for ticket in &tickets {
                line.mark(ticket, true);
            }
            let first = line.first_ready(now).unwrap();
            let index = tickets.iter().position(|ticket| ticket.key() == first);
            let _ = line.call(tickets.swap_remove(index.unwrap()));
            first == key
        });
        assert!(
            step.is_some_and(|step| step <= case.max_steps),
            "{}: turn at {step:?}",
            case.name
        );
    }
}

/// Guards against a request that is ready and waits behind one whose endpoints are closed,
/// and against a team that pays for a request that has left.
#[test]
fn those_ahead_that_cannot_go_hold_nobody_up() {
    let mut line = Line::default();
    let closed = line.join(claim("a", 0, 10), at(0));
    let left = line.join(claim("b", 0, 500), at(0));
    let ready = line.join(claim("c", 1, 10), at(0));
    line.mark(&closed, false);
    line.mark(&ready, true);
    assert_eq!(line.first_ready(at(0)), Some(ready.key()));
    line.leave(left);
    let next = claim("b", 0, 10);
    assert_eq!(line.ahead_of(&next, true, at(0)), 0);
    assert_eq!(line.ahead_of(&next, false, at(0)), 1);
    line.mark(&closed, true);
    assert_eq!(line.ahead_of(&next, true, at(0)), 1);
    assert_eq!(line.len(), 2);
}

/// Guards against callers that are asked to return in vain, and against one that is sent off
/// while a place is expected.
#[test]
fn a_caller_returns_only_where_a_place_may_be() {
    struct Case {
        name: &'static str,
        openings: &'static [Opening],
        /// Whether no place is there or expected.
        is_absent: bool,
        first_place_ms: Option<u64>,
    }
    use Opening::{At, Never, Now, Unknown};
    const SOON: Opening = At(Moment::from_millis(NOW + 80));
    const LATER: Opening = At(Moment::from_millis(NOW + 900));
    let case = |name, openings, is_absent, first_place_ms| Case {
        name,
        openings,
        is_absent,
        first_place_ms,
    };
    let cases = [
        case("no endpoint", &[][..], true, None),
        case("all leave", &[Never, Never], true, None),
        case("one has failed", &[Never, Unknown], true, None),
        case("one pauses", &[Never, LATER], false, Some(900)),
        case("the first of two", &[LATER, SOON], false, Some(80)),
        case("one is open", &[LATER, Now], false, Some(0)),
    ];
    for case in cases {
        let places: Vec<_> = case
            .openings
            .iter()
            .map(|opening| Place {
                opening: *opening,
                // As many as a record can state: their sum must not overflow.
                slots: u32::MAX,
                work: Some(ms(30)),
                wait: ms(0),
                report_age: None,
            })
            .collect();
        let supply = Supply::new(&places, Share::clamped(0.05));
        assert_eq!(supply.is_absent(), case.is_absent, "{}", case.name);
        let first = supply.first_place(at(0));
        assert_eq!(first, case.first_place_ms.map(ms), "{}", case.name);
    }
    // Away for as long as the caller could wait: told once, beyond its time.
    let away = Outlook::Absent(at(0));
    assert_eq!(away.in_vain(ms(900), at(299)), None);
    assert!(away.in_vain(ms(900), at(301)) > Some(ms(900)));
    assert_eq!(Outlook::In(ms(5_000)).in_vain(ms(900), at(9_000)), None);
    assert_eq!(Outlook::Unknown.in_vain(ms(900), at(9_000)), None);
}
