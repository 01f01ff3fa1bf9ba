//! Single moves of the pace of an endpoint.

use std::time::Duration;

use quetzalworks::balance::{Admission, Bounds, Failure, Hold};
use quetzalworks::runtime::Moment;

use crate::direct::balance::{NOW, endpoint};

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
