//! When waiting requests look again.

use quetzalworks::room::{Opening, ServiceRoom, Turn, Verdict};
use quetzalworks::runtime::Moment;

use crate::direct::balance::NOW;
use crate::direct::room::last_resort::{ask, at, supply};

/// Guards against a request that could go and sleeps while the one before it no longer can.
#[test]
fn the_next_goes_when_the_first_no_longer_can() {
    const SOON: Opening = Opening::At(Moment::from_millis(NOW + 80));
    const LATER: Opening = Opening::At(Moment::from_millis(NOW + 500));
    struct Case {
        name: &'static str,
        /// Order of the turns of two whose wakes are due at once.
        order: [usize; 2],
    }
    let cases = [
        Case {
            name: "the first looks first",
            order: [0, 1],
        },
        Case {
            name: "the next looks first",
            order: [1, 0],
        },
    ];
    for case in cases {
        let mut room = ServiceRoom::default();
        let mut join = || {
            let Verdict::Wait(ticket) = room.ask(&ask(), &supply(&[SOON]), at(0)) else {
                panic!("{}: does not wait", case.name);
            };
            room.turn(ticket, &supply(&[Opening::Now]), at(0))
        };
        assert!(matches!(join(), Turn::Send(_)));
        let mut waiters = [join(), join()].map(|turn| match turn {
            Turn::Wait(ticket, wake) => Some((ticket, wake)),
            turn => panic!("{}: {turn:?}", case.name),
        });
        // The endpoint of the first has closed since.
        let supplies = [supply(&[LATER]), supply(&[Opening::Now])];
        let mut sent = None;
        for _ in 0..20 {
            let wake_of = |i: &usize| waiters[*i].as_ref().map(|(_, wake)| *wake);
            let next = case.order.into_iter().min_by_key(wake_of).unwrap();
            let (ticket, now) = waiters[next].take().unwrap();
            match room.turn(ticket, &supplies[next], now) {
                Turn::Send(_) => {
                    sent = Some((next, now));
                    break;
                }
                Turn::Refuse => break,
                Turn::Wait(ticket, wake) => waiters[next] = Some((ticket, wake)),
            }
            if room.take_new_first() {
                let others = waiters.iter_mut().flatten();
                others.for_each(|(_, wake)| *wake = now);
            }
        }
        let is_soon = sent.is_some_and(|(i, now)| i == 1 && now < at(80));
        assert!(is_soon, "{}: {sent:?}", case.name);
    }
}
