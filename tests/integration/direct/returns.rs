//! Replays of refusals: when the callers return.

use std::time::Duration;

use quetzalworks::room::ReturnTimes;
use quetzalworks::runtime::Moment;

use crate::direct::balance::NOW;

/// Guards against callers that were refused together and return together, more than are
/// usually served at once.
#[test]
fn refused_callers_return_at_the_usual_rate() {
    struct Case {
        name: &'static str,
        /// Usual time between two requests.
        gap_ms: u64,
        refused: u64,
        /// Time over which the callers are refused.
        refused_over_ms: u64,
        deadline_ms: u64,
        /// Maximum number of callers that return within any 500 ms.
        max_in_half_second: usize,
        max_delay_ms: u64,
    }
    let cases = [
        Case {
            name: "one caller",
            gap_ms: 20,
            refused: 1,
            refused_over_ms: 0,
            deadline_ms: 10_000,
            max_in_half_second: 1,
            max_delay_ms: 150,
        },
        Case {
            name: "keep-alive connections find the endpoints gone at once",
            gap_ms: 20,
            refused: 100,
            refused_over_ms: 100,
            deadline_ms: 10_000,
            max_in_half_second: 26,
            max_delay_ms: 2_500,
        },
        Case {
            name: "the store is away for four seconds",
            gap_ms: 66,
            refused: 60,
            refused_over_ms: 4_000,
            deadline_ms: 8_000,
            max_in_half_second: 9,
            max_delay_ms: 2_400,
        },
        Case {
            name: "no time to wait for a place",
            gap_ms: 100,
            refused: 40,
            refused_over_ms: 10,
            deadline_ms: 1_500,
            max_in_half_second: 40,
            max_delay_ms: 450,
        },
    ];
    for case in cases {
        let mut times = ReturnTimes::default();
        let start = NOW + 200 * case.gap_ms;
        for i in 0..200 {
            times.record_arrival(Moment::from_millis(NOW + i * case.gap_ms));
        }
        let earliest = Duration::from_millis(150);
        let mut returns: Vec<u64> = (0..case.refused)
            .map(|i| {
                let at = start + i * case.refused_over_ms / case.refused;
                let left = Duration::from_millis(case.deadline_ms);
                let delay = times.book(earliest, left, Moment::from_millis(at));
                let delay = u64::try_from(delay.as_millis()).unwrap();
                assert!(delay <= case.max_delay_ms, "{}: {delay} ms", case.name);
                at + delay
            })
            .collect();
        returns.sort_unstable();
        let most = returns
            .iter()
            .map(|from| {
                let until = from + 500;
                returns
                    .iter()
                    .filter(|at| (*from..until).contains(at))
                    .count()
            })
            .max();
        assert!(
            most <= Some(case.max_in_half_second),
            "{}: {most:?} return within half a second",
            case.name
        );
    }
}
