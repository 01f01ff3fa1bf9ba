//! Single moves of the pace of an endpoint.

use std::time::Duration;

use quetzalworks::balance::{Admission, Bounds, Failure, Hold, Stage};
use quetzalworks::runtime::Moment;

use crate::direct::balance::{NOW, alone, endpoint};

const USUAL: Duration = Duration::from_millis(100);

fn at(millis: u64) -> Moment {
    Moment::from_millis(NOW + millis)
}

/// Guards against a healthy endpoint that stays shut since the caller of its probe has left,
/// or since it was full.
#[test]
fn a_probe_ends_by_its_outcome() {
    struct Case {
        name: &'static str,
        /// Whether an older request is given up while the probe is under way.
        older_given_up: bool,
        /// Whether the permit of the probe is dropped.
        dropped: bool,
        /// Failure recorded before that.
        failure: Option<Failure>,
        after: fn(Admission) -> bool,
    }
    let case = |name, dropped, failure, after| Case {
        name,
        older_given_up: false,
        dropped,
        failure,
        after,
    };
    let is_open = |a| a == Admission::Open;
    let is_failed = |a| matches!(a, Admission::LastResort(Hold::Failed(_)));
    let is_probed = |a| matches!(a, Admission::LastResort(Hold::Probed(_)));
    let cases = [
        case("under way", false, None, is_probed),
        Case {
            older_given_up: true,
            ..case("under way, an older one ends", false, None, is_probed)
        },
        case("given up", true, None, is_open),
        case("failed", true, Some(Failure::Silent), is_failed),
        case(
            "failed with an answer",
            true,
            Some(Failure::Answered),
            is_failed,
        ),
        case("refused", true, Some(Failure::Refused), is_open),
    ];
    for case in cases {
        let view = endpoint("e", "north");
        let live = &view.live;
        let older = live.begin(Duration::ZERO, at(0));
        live.record_failure(Failure::Unreachable, Duration::ZERO, at(0));
        let bounds = Bounds::default();
        assert_eq!(live.admission(bounds, at(600)), Admission::Open);
        live.record_activity(at(600));
        let probe = live.begin(Duration::ZERO, at(600));
        let older = (!case.older_given_up).then_some(older);
        if let Some(failure) = case.failure {
            live.record_failure(failure, Duration::ZERO, at(650));
        }
        let probe = (!case.dropped).then_some(probe);
        drop(older);
        let after = live.admission(bounds, at(700));
        assert!((case.after)(after), "{}: {after:?}", case.name);
        drop(probe);
    }
}

/// Guards against a cold endpoint whose limit begins again after each end.
#[test]
fn a_cold_span_limits_an_endpoint_once() {
    struct Case {
        name: &'static str,
        /// End of the cold span by the record at a time in ms.
        cold_until_ms: fn(u64) -> u64,
        /// Time of a failure after which the endpoint may have restarted.
        failed_ms: Option<u64>,
        /// Changes to a limit.
        limited: usize,
    }
    let case = |name, cold_until_ms, failed_ms, limited| Case {
        name,
        cold_until_ms,
        failed_ms,
        limited,
    };
    let cases = [
        case("one span", |_| 5_000, None, 1),
        case(
            "its end moves with the reports",
            |t| 5_000 + t / 500,
            None,
            1,
        ),
        case(
            "a second span",
            |t| if t < 4_000 { 2_000 } else { 9_000 },
            None,
            2,
        ),
        case("broken within the span", |_| 5_000, Some(2_000), 2),
    ];
    for case in cases {
        let view = endpoint("e", "north");
        let live = &view.live;
        let rates = alone(10.0);
        let mut limited = 0;
        for t in (0..8_000).step_by(100) {
            let _ = live.admission(Bounds::default(), at(t));
            let until = at((case.cold_until_ms)(t));
            let _ = live.permit_delay(&view.record.id, until, &rates, at(t));
            let count = |to: Stage| usize::from(to == Stage::Rising);
            limited += live.take_pace_change().map_or(0, |change| count(change.to));
            let mut permit = live.begin(Duration::ZERO, at(t));
            permit.record_first_byte();
            if case.failed_ms == Some(t) {
                live.record_failure(Failure::Broken, Duration::from_secs(3), at(t));
            } else {
                live.record_success(USUAL, Duration::ZERO, at(t));
            }
            let _ = live.take_pace_change();
        }
        assert_eq!(limited, case.limited, "{}", case.name);
    }
}

/// Guards against requests that look again all the time whether they may go.
#[test]
fn the_next_look_is_some_time_away() {
    struct Case {
        slots: u32,
        waiting: usize,
    }
    let cases = [(8, 1), (80, 10), (8_000, 1_000)].map(|(slots, waiting)| Case { slots, waiting });
    for case in cases {
        let view = endpoint("e", "north");
        let live = &view.live;
        let bounds = Bounds {
            slots: case.slots,
            ..Bounds::default()
        };
        live.start(bounds, Some(USUAL));
        let _permits: Vec<_> = (0..case.waiting)
            .map(|_| live.begin(Duration::ZERO, at(0)))
            .collect();
        let Admission::LastResort(Hold::Rising(next)) = live.admission(bounds, at(0)) else {
            panic!("{} slots: not at its limit", case.slots);
        };
        assert!(next >= at(5), "{} slots", case.slots);
    }
}
