//! Requests for which only an endpoint is left that may not be well.

use std::time::Duration;

use quetzalworks::room::{Ask, Opening, Place, ServiceRoom, Supply, Turn, Verdict};
use quetzalworks::runtime::Moment;
use quetzalworks::units::Share;

use crate::direct::balance::NOW;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn at(millis: u64) -> Moment {
    Moment::from_millis(NOW + millis)
}

pub fn supply(openings: &[Opening]) -> Supply {
    let place = |opening: &Opening| Place {
        opening: *opening,
        slots: 1,
        work: Some(ms(30)),
        wait: ms(0),
        report_age: None,
    };
    let places: Vec<_> = openings.iter().map(place).collect();
    Supply::new(&places, Share::clamped(1.0))
}

/// Returns a request that may wait for 955 ms at an endpoint with work of 30 ms.
pub fn ask() -> Ask {
    Ask {
        priority: 0,
        team: None,
        objective: ms(1_000),
        objective_left: ms(1_000),
        time_left: ms(1_000),
    }
}

/// Guards against a request that is refused, at once or after a wait, although the choice
/// would have tried an endpoint for it; and against one that passes a line to an open one.
#[test]
fn the_last_resort_is_tried_before_a_refusal() {
    #[derive(Debug, PartialEq)]
    enum Decided {
        Sent,
        Waits,
        Refused,
    }
    use Decided::{Refused, Sent, Waits};
    use Opening::{At, LastResort, Never, Now, Unknown};
    const SOON: Moment = Moment::from_millis(NOW + 80);
    const FAR: Moment = Moment::from_millis(NOW + 5_000);
    struct Case {
        name: &'static str,
        openings: &'static [Opening],
        /// At once, and for one that has waited as long as it may.
        at_once: Decided,
        expired: Decided,
    }
    let case = |name, openings, at_once, expired| Case {
        name,
        openings,
        at_once,
        expired,
    };
    let cases = [
        case("pause", &[At(FAR)][..], Refused, Refused),
        case("pause, failed", &[At(FAR), LastResort(None)], Sent, Sent),
        case("full pace", &[LastResort(Some(FAR))], Sent, Sent),
        case("short wait", &[At(SOON), LastResort(None)], Waits, Sent),
        case("failed", &[LastResort(None)], Sent, Sent),
        case("unknown", &[At(FAR), Unknown], Refused, Refused),
        case("all leave", &[Never], Refused, Refused),
        case("open", &[Now, LastResort(None)], Sent, Sent),
    ];
    for case in cases {
        let supply = supply(case.openings);
        let at_once = match ServiceRoom::default().ask(&ask(), &supply, at(0)) {
            Verdict::Send => Sent,
            Verdict::Wait(_) => Waits,
            Verdict::Refuse => Refused,
        };
        assert_eq!(at_once, case.at_once, "{}: at once", case.name);
        let mut room = ServiceRoom::default();
        let expected_soon = self::supply(&[At(SOON)]);
        let Verdict::Wait(ticket) = room.ask(&ask(), &expected_soon, at(0)) else {
            panic!("{}: does not wait", case.name);
        };
        let expired = match room.turn(ticket, &supply, at(1_000)) {
            Turn::Send(_) => Sent,
            Turn::Wait(..) => Waits,
            Turn::Refuse => Refused,
        };
        assert_eq!(expired, case.expired, "{}: expired", case.name);
    }
}
