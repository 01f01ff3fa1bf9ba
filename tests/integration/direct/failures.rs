//! Failures and silence of an endpoint, and what follows for the choice.

use std::time::Duration;

use quetzalworks::balance::{Failure, Live, Permit, Silence};
use quetzalworks::runtime::Moment;
use quetzalworks::units::{Rate, Tokens};

use crate::direct::balance::{NOW, ask, chosen, endpoint};

/// Guards against requests for an endpoint whose address another process has,
/// and against a full endpoint that is left alone or taken for cold.
#[test]
fn a_failure_tells_whether_the_endpoint_is_there() {
    struct Case {
        failure: Failure,
        /// Whether it is left alone for a while.
        suspended: bool,
        /// Whether it may have started again.
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
        live.failed(case.failure, Duration::from_secs(3), now);
        let name = case.failure;
        assert_eq!(live.is_suspended(now), case.suspended, "{name}");
        let admits = || live.admits(Moment::default(), Some(Rate::clamped(2.0)), now);
        // The first request to a cold endpoint uses its share up.
        assert!(admits(), "{name}");
        drop(live.begin(Tokens(1), now));
        let admits = admits();
        assert_eq!(!admits, case.cold, "{name}");
    }
}

/// Guards against a failed endpoint that is never tried again.
#[test]
fn a_suspension_ends() {
    let endpoint = endpoint("e", "north");
    let now = Moment::from_millis(NOW);
    for _ in 0..20 {
        endpoint.live.failed(Failure::Silent, Duration::ZERO, now);
    }
    assert!(endpoint.live.is_suspended(now));
    assert!(
        !endpoint
            .live
            .is_suspended(now.after(Duration::from_secs(5)))
    );
}

/// Guards against a busy endpoint that is taken for dark, and a dark one that
/// is waited for.
#[test]
fn a_silent_endpoint_is_dark_after_a_time_that_fits_it() {
    struct Case {
        name: &'static str,
        usual_ms: u64,
        in_flight: bool,
        silent_ms: u64,
        dark: bool,
    }
    let cases = [
        Case {
            name: "just asked",
            usual_ms: 100,
            in_flight: true,
            silent_ms: 500,
            dark: false,
        },
        Case {
            name: "silent",
            usual_ms: 100,
            in_flight: true,
            silent_ms: 1_000,
            dark: true,
        },
        Case {
            name: "nothing asked",
            usual_ms: 100,
            in_flight: false,
            silent_ms: 9_000,
            dark: false,
        },
        Case {
            name: "usually slow",
            usual_ms: 800,
            in_flight: true,
            silent_ms: 2_000,
            dark: false,
        },
        Case {
            name: "slow and silent",
            usual_ms: 800,
            in_flight: true,
            silent_ms: 2_600,
            dark: true,
        },
    ];
    for case in cases {
        let endpoint = endpoint("e", "north");
        for _ in 0..100 {
            endpoint
                .live
                .succeeded(Duration::from_millis(case.usual_ms));
        }
        let asked = Moment::from_millis(NOW);
        let _permit = case
            .in_flight
            .then(|| endpoint.live.begin(Tokens(1), asked));
        let now = Moment::from_millis(NOW + case.silent_ms);
        assert_eq!(endpoint.live.is_silent(now), case.dark, "{}", case.name);
    }
}

/// Guards against new requests for an endpoint that hangs: it accepts
/// connections and answers nothing.
#[test]
fn a_silent_endpoint_that_accepts_connections_gets_no_new_request() {
    struct Case {
        name: &'static str,
        /// What becomes known of the silent endpoint.
        then: fn(&Live, &mut Permit, Moment),
        later_ms: u64,
        /// What a waiting request does right after that, and later.
        waiting: [Silence; 2],
        chosen: &'static str,
    }
    let cases = [
        Case {
            name: "it accepts a connection",
            then: |live, _, now| live.reached(now),
            later_ms: 400,
            waiting: [Silence::None, Silence::Dark],
            chosen: "other",
        },
        Case {
            name: "it begins to answer",
            then: |live, permit, now| {
                live.heard(now);
                permit.answered();
            },
            later_ms: 1_000,
            waiting: [Silence::None, Silence::Ask],
            chosen: "near",
        },
        Case {
            name: "it accepts none",
            then: |live, _, _| live.lost(),
            later_ms: 100,
            waiting: [Silence::Dark, Silence::Dark],
            chosen: "other",
        },
    ];
    for case in cases {
        let endpoints = [endpoint("near", "north"), endpoint("other", "south")];
        let live = &endpoints[0].live;
        let mut permit = live.begin(Tokens(1), Moment::from_millis(NOW));
        let at = NOW + 1_000;
        let now = Moment::from_millis(at);
        assert_eq!(live.silence(now), Silence::Ask, "{}", case.name);
        (case.then)(live, &mut permit, now);
        let _as_busy = endpoints[1].live.begin(Tokens(1), now);
        let later = Moment::from_millis(at + case.later_ms);
        assert_eq!(live.silence(now), case.waiting[0], "{}", case.name);
        assert_eq!(live.silence(later), case.waiting[1], "{}: later", case.name);
        let north = "north".parse().unwrap();
        let ask = ask(&north, None, at);
        let found = chosen(&endpoints, &ask);
        assert_eq!(found.as_deref(), Some(case.chosen), "{}", case.name);
    }
}
