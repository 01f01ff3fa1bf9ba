//! Endpoint selection, cold starts and the limit on retries.

use std::sync::{Arc, LazyLock};
use std::time::Duration;

use quetzalworks::balance::{
    Failure, HeldLeases, Prompt, PromptPart, Query, Reading, ReportedLoad, RetryWindow,
    SharedRates, VersionFilter, choose,
};
use quetzalworks::catalog::AllowedRegions;
use quetzalworks::direct::EndpointView;
use quetzalworks::ids::{DomainName, Fingerprint, LeaseNumber};
use quetzalworks::runtime::Moment;
use quetzalworks::units::{Millis, Rate, Share, Tokens};

use crate::direct::world::{entry, record};

pub static ANYWHERE: LazyLock<AllowedRegions> = LazyLock::new(AllowedRegions::default);

/// Rates at an entry that holds all leases.
static RATES: LazyLock<SharedRates> = LazyLock::new(|| alone(2.0));

/// Rates of a service whose cold endpoints have none.
pub static UNLIMITED: LazyLock<SharedRates> = LazyLock::new(SharedRates::default);

pub const NOW: u64 = 1_000_000;

/// Rates at an entry that holds all leases; `cold` is that of cold endpoints.
pub fn alone(cold: f64) -> SharedRates {
    SharedRates {
        cold: Some(Rate::clamped(cold)),
        leases: leases(0..96, 96),
        entry: Fingerprint(0),
    }
}

/// Leases with these numbers, which have not expired.
pub fn leases(numbers: impl IntoIterator<Item = u32>, all: u32) -> HeldLeases {
    let held = numbers.into_iter().map(LeaseNumber).collect();
    HeldLeases::new(held, all, Share::clamped(1.0))
}

pub fn endpoint(id: &str, domain: &str) -> Arc<EndpointView> {
    let mut value = entry("writer", "v1", 1);
    value["Zone"] = domain.into();
    Arc::new(EndpointView {
        record: record(id, &value),
        live: Arc::default(),
        cold_until: Moment::default(),
        region: None,
        is_engine: false,
    })
}

/// Returns a prompt whose first part, of this many tokens, is shared.
pub fn prompt(shared: u64, tokens: u64) -> Prompt {
    let part = |id, tokens| PromptPart {
        id: Fingerprint(id),
        tokens: Tokens(tokens),
    };
    Prompt {
        input: Tokens(tokens + 500),
        parts: vec![part(shared, tokens), part(u64::MAX, 500)],
    }
}

/// Returns the prompt as read by the smallest model.
pub fn reading(prompt: &Prompt) -> Reading<'_> {
    Reading {
        prompt,
        model: 0,
        speed: Rate::clamped(20_000.0),
    }
}

pub fn query<'a>(domain: &'a DomainName, prompt: Option<&'a Prompt>, at: u64) -> Query<'a> {
    Query {
        version: VersionFilter::Any,
        reading: prompt.map(reading),
        regions: &ANYWHERE,
        region: None,
        tried: &[],
        domain,
        rates: &RATES,
        share: Share::clamped(1.0),
        max_delay: Duration::ZERO,
        writing: Duration::ZERO,
        event_gap: None,
        time_left: Duration::from_secs(5),
        spread: Fingerprint(0),
        now: Moment::from_millis(at),
    }
}

pub fn chosen(endpoints: &[Arc<EndpointView>], ask: &Query<'_>) -> Option<String> {
    choose(endpoints, ask).map(|choice| choice.endpoint.record.id.to_string())
}

/// Guards against requests that are sent to a busy, failing or remote endpoint
/// although a better one is available.
#[test]
fn the_best_endpoint_is_chosen() {
    struct Case {
        name: &'static str,
        prepare: fn(&EndpointView, Moment),
        chosen: &'static str,
    }
    let cases = [
        Case {
            name: "equal endpoints: same failure domain as the entry",
            prepare: |_, _| {},
            chosen: "near",
        },
        Case {
            name: "reports a high load",
            prepare: |near, now| {
                near.live.record_load(
                    ReportedLoad {
                        running: 4,
                        waiting: 3,
                        ..ReportedLoad::default()
                    },
                    now,
                );
            },
            chosen: "far",
        },
        Case {
            name: "unreachable",
            prepare: |near, now| {
                near.live
                    .record_failure(Failure::Unreachable, Duration::ZERO, now);
            },
            chosen: "far",
        },
        Case {
            name: "slow to answer",
            prepare: |near, now| {
                for _ in 0..20 {
                    near.live
                        .record_success(Duration::from_secs(1), Duration::ZERO, now);
                }
            },
            chosen: "far",
        },
        Case {
            name: "fails most requests",
            prepare: |near, now| {
                for _ in 0..10 {
                    near.live
                        .record_failure(Failure::Answered, Duration::ZERO, now);
                }
            },
            chosen: "far",
        },
    ];
    for case in cases {
        let endpoints = [endpoint("near", "north"), endpoint("far", "south")];
        (case.prepare)(&endpoints[0], Moment::from_millis(NOW));
        let domain = "north".parse().unwrap();
        let found = chosen(&endpoints, &query(&domain, None, NOW));
        assert_eq!(found.as_deref(), Some(case.chosen), "{}", case.name);
    }
}

/// Guards against prompts that are processed again at another endpoint although
/// one has cached them, and against a popular prompt that overloads its endpoint.
#[test]
fn affinity_holds_until_the_endpoint_is_busy() {
    let endpoints: Vec<_> = (0..6)
        .map(|i| endpoint(&format!("e{i}"), "north"))
        .collect();
    let domain = "north".parse().unwrap();
    let now = Moment::from_millis(NOW);
    let shared = prompt(7, 6_000);
    let first = chosen(&endpoints, &query(&domain, Some(&shared), NOW)).unwrap();
    assert_eq!(
        chosen(&endpoints, &query(&domain, Some(&shared), NOW)).unwrap(),
        first
    );
    let others = (0..40)
        .filter_map(|part| chosen(&endpoints, &query(&domain, Some(&prompt(part, 6_000)), NOW)));
    let used: std::collections::HashSet<_> = others.collect();
    assert!(
        used.len() > 3,
        "prompts should be spread over endpoints: {used:?}"
    );
    let preferred = endpoints
        .iter()
        .find(|e| e.record.id.as_str() == first)
        .unwrap();
    let _busy: Vec<_> = (0..20)
        .map(|_| preferred.live.begin(Duration::from_millis(5), now))
        .collect();
    assert_ne!(
        chosen(&endpoints, &query(&domain, Some(&shared), NOW)).unwrap(),
        first
    );
}

/// Guards against reading a shared prefix again although an endpoint to which it was
/// moved has it, and against one that may have lost it in a restart.
#[test]
fn a_prefix_is_read_where_it_was_read_before() {
    struct Case {
        name: &'static str,
        /// Model that has read the prefix; the request is for model 0.
        model: usize,
        later_ms: u64,
        broken: bool,
        found_again: bool,
    }
    let case = |name, model, later_ms, broken, found_again| Case {
        name,
        model,
        later_ms,
        broken,
        found_again,
    };
    let cases = [
        case("a moment before", 0, 100, false, true),
        case("by another model", 1, 100, false, false),
        case("long ago", 0, 60_000, false, false),
        case("the endpoint broke off since", 0, 100, true, false),
    ];
    let domain = "north".parse().unwrap();
    for case in cases {
        let endpoints: Vec<_> = (0..6)
            .map(|i| endpoint(&format!("e{i}"), "north"))
            .collect();
        let shared = prompt(7, 6_000);
        let first = chosen(&endpoints, &query(&domain, Some(&shared), NOW)).unwrap();
        let (preferred, others): (Vec<_>, Vec<_>) = endpoints
            .iter()
            .partition(|e| e.record.id.as_str() == first);
        let moved_to = others.last().unwrap();
        let read_by = Reading {
            model: case.model,
            ..reading(&shared)
        };
        let now = Moment::from_millis(NOW);
        moved_to.live.record_prompt(&read_by, now);
        if case.broken {
            moved_to
                .live
                .record_failure(Failure::Broken, Duration::ZERO, now);
        }
        let _busy: Vec<_> = (0..20)
            .map(|_| preferred[0].live.begin(Duration::from_millis(5), now))
            .collect();
        let found = choose(
            &endpoints,
            &query(&domain, Some(&shared), NOW + case.later_ms),
        );
        let found = found.unwrap();
        let again = found.endpoint.record.id == moved_to.record.id;
        assert_eq!(
            again && found.unread == Tokens(0),
            case.found_again,
            "{}",
            case.name
        );
    }
}

/// Guards against affinity to an endpoint that is busy with requests of other
/// entries. Its answers are late, and so are the load reports that come with them.
#[test]
fn affinity_yields_to_long_waits() {
    struct Case {
        name: &'static str,
        /// Waiting times of this entry's requests at the endpoint.
        waited_ms: &'static [u64],
        /// Time to first byte of its earlier answers; `None` without any.
        first_byte_ms: Option<u64>,
        affinity_kept: bool,
    }
    let cases = [
        Case {
            name: "no requests waiting",
            waited_ms: &[],
            first_byte_ms: Some(200),
            affinity_kept: true,
        },
        Case {
            name: "requests sent recently",
            waited_ms: &[10, 200],
            first_byte_ms: Some(200),
            affinity_kept: true,
        },
        Case {
            name: "a request has waited for a long time",
            waited_ms: &[1_500],
            first_byte_ms: Some(200),
            affinity_kept: false,
        },
        Case {
            name: "the first request ever has waited for a long time",
            waited_ms: &[1_500],
            first_byte_ms: None,
            affinity_kept: false,
        },
        Case {
            name: "earlier answers began late",
            waited_ms: &[],
            first_byte_ms: Some(3_000),
            affinity_kept: false,
        },
    ];
    let domain = "north".parse().unwrap();
    for case in cases {
        let endpoints: Vec<_> = (0..6)
            .map(|i| endpoint(&format!("e{i}"), "north"))
            .collect();
        for other in &endpoints {
            other.live.record_success(
                Duration::from_millis(100),
                Duration::ZERO,
                Moment::from_millis(NOW),
            );
        }
        let shared = prompt(7, 6_000);
        let before = chosen(&endpoints, &query(&domain, Some(&shared), NOW)).unwrap();
        let is_preferred = |e: &&Arc<EndpointView>| e.record.id.as_str() == before;
        let preferred = endpoints.iter().find(is_preferred).unwrap();
        if let Some(millis) = case.first_byte_ms {
            for _ in 0..50 {
                preferred.live.record_success(
                    Duration::from_millis(millis),
                    Duration::ZERO,
                    Moment::from_millis(NOW),
                );
            }
        }
        let sent = |waited: &u64| {
            let at = Moment::from_millis(NOW - waited);
            preferred.live.begin(Duration::ZERO, at)
        };
        let _waiting: Vec<_> = case.waited_ms.iter().map(sent).collect();
        let after = chosen(&endpoints, &query(&domain, Some(&shared), NOW)).unwrap();
        assert_eq!(after == before, case.affinity_kept, "{}", case.name);
    }
}

/// Guards against a forecast by waits of an overload that is over: an entry of many gets an
/// answer of each endpoint only every few seconds.
#[test]
fn a_forecast_goes_by_recent_waits() {
    struct Case {
        name: &'static str,
        later_ms: u64,
        begin_ms: std::ops::Range<u128>,
    }
    let case = |name, later_ms, begin_ms| Case {
        name,
        later_ms,
        begin_ms,
    };
    let cases = [
        case("just now", 0, 2_900..3_100),
        case("a moment ago", 1_000, 2_000..2_900),
        case("before the overload was over", 10_000, 0..300),
    ];
    let domain = "north".parse().unwrap();
    for case in cases {
        let endpoints = [endpoint("one", "north")];
        let live = &endpoints[0].live;
        let now = Moment::from_millis(NOW);
        live.record_success(Duration::from_secs(3), Duration::ZERO, now);
        let choice = choose(&endpoints, &query(&domain, None, NOW + case.later_ms)).unwrap();
        let begin = choice.begin.as_millis();
        assert!(case.begin_ms.contains(&begin), "{}: {begin}", case.name);
    }
}

/// Guards against a selection that can't be explained from the log.
#[test]
fn a_choice_is_logged_with_its_inputs() {
    struct Case {
        name: &'static str,
        affinity: Option<u64>,
        prepare: fn(&EndpointView, Moment),
        logged: &'static str,
    }
    let cases = [
        Case {
            name: "same failure domain as the entry",
            affinity: None,
            prepare: |_, _| {},
            logged: "score, 2 well of 2 open of 2, load 0 own only",
        },
        Case {
            name: "load reported by the endpoint",
            affinity: None,
            prepare: |endpoint, now| {
                let load = ReportedLoad {
                    running: 1,
                    waiting: 0,
                    ..ReportedLoad::default()
                };
                endpoint.live.record_load(load, now);
            },
            logged: "score, 2 well of 2 open of 2, load 1 reported 30 ms ago",
        },
        Case {
            name: "shared prompt prefix",
            affinity: Some(7),
            prepare: |_, _| {},
            logged: "affinity, 2 well of 2 open of 2, load 0 own only, \
                     500 tokens to read, expected in 65 ms",
        },
        Case {
            name: "every endpoint has failed",
            affinity: None,
            prepare: |endpoint, now| {
                let failure = Failure::Unreachable;
                endpoint.live.record_failure(failure, Duration::ZERO, now);
            },
            logged: "last_resort, 0 well of 2 open of 2, load 0 own only",
        },
    ];
    for case in cases {
        let endpoints = [endpoint("near", "north"), endpoint("far", "south")];
        for endpoint in &endpoints {
            (case.prepare)(endpoint, Moment::from_millis(NOW));
        }
        let domain = "north".parse().unwrap();
        let shared = case.affinity.map(|part| prompt(part, 6_000));
        let choice = choose(&endpoints, &query(&domain, shared.as_ref(), NOW + 30)).unwrap();
        assert_eq!(choice.to_string(), case.logged, "{}", case.name);
    }
}

/// Guards against overloading a cold endpoint.
#[test]
fn requests_to_a_cold_endpoint_are_limited() {
    let cold = Arc::new(EndpointView {
        cold_until: Moment::from_millis(NOW + 10_000),
        ..Arc::unwrap_or_clone(endpoint("cold", "north"))
    });
    let endpoints = [cold];
    let domain = "north".parse().unwrap();
    let mut sent = 0;
    for at in (NOW..NOW + 5_000).step_by(10) {
        if let Some(choice) = choose(&endpoints, &query(&domain, None, at)) {
            let _permit = choice
                .endpoint
                .live
                .begin(Duration::ZERO, Moment::from_millis(at));
            sent += 1;
        }
    }
    // 2 per second for 5 s.
    assert!((10..=11).contains(&sent), "{sent}");
}

/// Guards against retries that multiply the load on a failing service.
#[test]
fn retries_are_limited_by_requests() {
    struct Case {
        requests: u32,
        allowed: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case {
            requests: 0,
            allowed: 1..=6,
        },
        Case {
            requests: 100,
            allowed: 70..=90,
        },
        Case {
            requests: 1_000,
            allowed: 800..=900,
        },
    ];
    for case in cases {
        let mut window = RetryWindow::new(0.9, Millis(10_000));
        for i in 0..case.requests {
            window.record_request(Moment::from_millis(NOW + u64::from(i)));
        }
        let now = Moment::from_millis(NOW + 2_000);
        let allowed = (0..5_000).filter(|_| window.take_retry(now)).count();
        let allowed = u32::try_from(allowed).unwrap();
        assert!(
            case.allowed.contains(&allowed),
            "{}: {allowed}",
            case.requests
        );
        let later = Moment::from_millis(NOW + 40_000);
        let after = (0..5_000).filter(|_| window.take_retry(later)).count();
        assert!(
            after <= 6,
            "requests outside the window permit no retries: {after}"
        );
    }
}

/// Guards against cascade escalations that use up the retries needed by requests
/// whose endpoint has failed.
#[test]
fn escalations_leave_retries_for_failures() {
    let mut window = RetryWindow::new(0.9, Millis(10_000));
    let now = Moment::from_millis(NOW);
    for _ in 0..100 {
        window.record_request(now);
    }
    let optional = (0..500).filter(|_| window.take_optional_retry(now)).count();
    let needed = (0..500).filter(|_| window.take_retry(now)).count();
    assert!(
        optional >= 45,
        "too few retries for the usual escalations: {optional}"
    );
    assert!(needed >= 10, "{needed}");
}
