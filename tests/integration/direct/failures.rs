//! Effects of failures and silence of an endpoint on its selection.

use std::time::Duration;

use quetzalworks::balance::{Admission, Bounds, Failure, Hold, Live, Permit, SilenceAction};
use quetzalworks::runtime::Moment;

use crate::direct::balance::{NOW, alone, chosen, endpoint, query};

/// Panics if the endpoint is neither open nor suspended.
fn is_suspended(live: &Live, now: Moment) -> bool {
    match live.admission(Bounds::default(), now) {
        Admission::Open => false,
        Admission::LastResort(Hold::Failed(_)) => true,
        other => panic!("{other:?}"),
    }
}

fn is_silent(live: &Live, now: Moment) -> bool {
    live.admission(Bounds::default(), now) == Admission::LastResort(Hold::Silent)
}

/// Guards against requests to an endpoint whose address belongs to another process, and
/// against a full endpoint that is suspended or treated as cold.
#[test]
fn failure_kind_decides_suspension_and_cold_start() {
    struct Case {
        failure: Failure,
        /// Whether the endpoint is suspended for a while.
        suspended: bool,
        /// Whether the endpoint may have restarted, and counts as cold.
        cold: bool,
    }
    let case = |failure, suspended, cold| Case {
        failure,
        suspended,
        cold,
    };
    let cases = [
        case(Failure::Unreachable, true, true),
        case(Failure::Silent, true, true),
        case(Failure::Broken, false, true),
        case(Failure::Answered, false, false),
        case(Failure::Refused, false, false),
        case(Failure::Misdirected, true, false),
    ];
    for case in cases {
        let endpoint = endpoint("e", "north");
        let live = &endpoint.live;
        let now = Moment::from_millis(NOW);
        live.record_failure(case.failure, Duration::from_secs(3), now);
        let name = case.failure;
        assert_eq!(is_suspended(live, now), case.suspended, "{name}");
        let rates = alone(2.0);
        let admits = |at: &Moment| {
            let id = &endpoint.record.id;
            let delay = live.permit_delay(id, Moment::default(), &rates, *at);
            delay == Some(Duration::ZERO)
        };
        // The first permit comes within one period of the limit.
        let mut times = (0..500).map(|millis| Moment::from_millis(NOW + millis));
        let first = times.find(admits).unwrap();
        // The first request to a cold endpoint uses up its rate limit.
        drop(live.begin(Duration::ZERO, first));
        assert_eq!(!admits(&first), case.cold, "{name}");
    }
}

/// Guards against an endpoint that is never used again after repeated failures.
#[test]
fn suspension_expires() {
    let endpoint = endpoint("e", "north");
    let now = Moment::from_millis(NOW);
    for _ in 0..20 {
        endpoint
            .live
            .record_failure(Failure::Silent, Duration::ZERO, now);
    }
    assert!(is_suspended(&endpoint.live, now));
    let later = now.saturating_add(Duration::from_secs(5));
    assert!(!is_suspended(&endpoint.live, later));
}

/// Guards against a busy endpoint that counts as unresponsive, and against waiting for an
/// unresponsive one.
#[test]
fn silence_threshold_depends_on_usual_latency() {
    struct Case {
        name: &'static str,
        usual_ms: u64,
        in_flight: bool,
        silent_ms: u64,
        is_silent: bool,
    }
    let cases = [
        Case {
            name: "silent for a short time",
            usual_ms: 100,
            in_flight: true,
            silent_ms: 500,
            is_silent: false,
        },
        Case {
            name: "silent for a long time",
            usual_ms: 100,
            in_flight: true,
            silent_ms: 1_000,
            is_silent: true,
        },
        Case {
            name: "no request in flight",
            usual_ms: 100,
            in_flight: false,
            silent_ms: 9_000,
            is_silent: false,
        },
        Case {
            name: "silent, but usually slow",
            usual_ms: 800,
            in_flight: true,
            silent_ms: 2_000,
            is_silent: false,
        },
        Case {
            name: "silent for long, although usually slow",
            usual_ms: 800,
            in_flight: true,
            silent_ms: 2_600,
            is_silent: true,
        },
    ];
    for case in cases {
        let endpoint = endpoint("e", "north");
        let sent = Moment::from_millis(NOW);
        for _ in 0..100 {
            let usual = Duration::from_millis(case.usual_ms);
            endpoint.live.record_success(usual, Duration::ZERO, sent);
        }
        let _permit = case
            .in_flight
            .then(|| endpoint.live.begin(Duration::ZERO, sent));
        let now = Moment::from_millis(NOW + case.silent_ms);
        assert_eq!(
            is_silent(&endpoint.live, now),
            case.is_silent,
            "{}",
            case.name
        );
    }
}

/// Guards against giving up an engine that is still reading a long prompt, and against
/// waiting as long for one with short prompts only.
#[test]
fn silence_threshold_depends_on_the_prompts() {
    struct Case {
        name: &'static str,
        /// Reading times of the requests that wait at the engine.
        reading_ms: &'static [u64],
        silent_ms: u64,
        is_silent: bool,
    }
    let cases = [
        Case {
            name: "short prompt",
            reading_ms: &[20],
            silent_ms: 1_000,
            is_silent: true,
        },
        Case {
            name: "17,000 tokens of a large model",
            reading_ms: &[1_060],
            silent_ms: 2_500,
            is_silent: false,
        },
        Case {
            name: "a short prompt behind a long one",
            reading_ms: &[1_060, 20],
            silent_ms: 2_500,
            is_silent: false,
        },
        Case {
            name: "longer than a long prompt takes",
            reading_ms: &[1_060],
            silent_ms: 3_200,
            is_silent: true,
        },
    ];
    for case in cases {
        let live = endpoint("e", "north").live.clone();
        let sent = Moment::from_millis(NOW);
        let begin = |millis: &u64| live.begin(Duration::from_millis(*millis), sent);
        let _permits: Vec<_> = case.reading_ms.iter().map(begin).collect();
        let now = Moment::from_millis(NOW + case.silent_ms);
        assert_eq!(is_silent(&live, now), case.is_silent, "{}", case.name);
    }
}

/// Guards against new requests to an endpoint that hangs: it accepts connections but does
/// not answer.
#[test]
fn silent_endpoint_gets_no_new_requests() {
    struct Case {
        name: &'static str,
        /// Event that is recorded for the silent endpoint.
        event: fn(&Live, &mut Permit, Moment),
        later_ms: u64,
        /// Expected action of a waiting request right after the event, and later.
        waiting: [SilenceAction; 2],
        chosen: &'static str,
    }
    let cases = [
        Case {
            name: "accepts a connection",
            event: |live, _, now| live.record_reachable(now),
            later_ms: 400,
            waiting: [SilenceAction::None, SilenceAction::Unresponsive],
            chosen: "other",
        },
        Case {
            name: "begins to answer",
            event: |live, permit, now| {
                live.record_activity(now);
                permit.record_first_byte();
            },
            later_ms: 1_000,
            waiting: [SilenceAction::None, SilenceAction::Probe],
            chosen: "near",
        },
        Case {
            name: "accepts no connection",
            event: |live, _, _| live.record_unreachable(),
            later_ms: 100,
            waiting: [SilenceAction::Unresponsive, SilenceAction::Unresponsive],
            chosen: "other",
        },
    ];
    for case in cases {
        let endpoints = [endpoint("near", "north"), endpoint("other", "south")];
        let live = &endpoints[0].live;
        let mut permit = live.begin(Duration::ZERO, Moment::from_millis(NOW));
        let at = NOW + 1_000;
        let now = Moment::from_millis(at);
        assert_eq!(
            live.silence_action(now),
            SilenceAction::Probe,
            "{}",
            case.name
        );
        (case.event)(live, &mut permit, now);
        let _as_busy = endpoints[1].live.begin(Duration::ZERO, now);
        let later = Moment::from_millis(at + case.later_ms);
        assert_eq!(live.silence_action(now), case.waiting[0], "{}", case.name);
        assert_eq!(
            live.silence_action(later),
            case.waiting[1],
            "{}: later",
            case.name
        );
        let north = "north".parse().unwrap();
        let query = query(&north, None, at);
        let found = chosen(&endpoints, &query);
        assert_eq!(found.as_deref(), Some(case.chosen), "{}", case.name);
    }
}
