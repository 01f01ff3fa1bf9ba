//! Detection of bad versions by the evidence of all entries: speed and false alarms.

use std::time::Duration;

use quetzalworks::direct::{Evidence, Sample};
use quetzalworks::ids::VersionName;
use quetzalworks::rollout::AttemptOutcome;

/// Number of combinations of route and model in a large service.
const ROUTE_MODELS: usize = 6;
/// Number of entries, each of which evaluates its own samples only.
const ENTRIES: usize = 8;
/// Maximum number of bad answers before the time allowed for the rollback begins.
const MAX_BAD_ANSWERS: usize = 50;
/// Number of simulated rollouts per case.
const TRIALS: usize = 50;
/// Standard deviation of the logarithm of the time to first byte: prompts differ
/// in length, and some are cached.
const LOG_FIRST_BYTE_SD: f64 = 1.0;

/// Failure probability of a version, and its time to first byte as a multiple of
/// a good version's.
#[derive(Clone, Copy)]
struct Behaviour {
    failures: f64,
    slowness: f64,
}

const GOOD: Behaviour = Behaviour {
    failures: 0.02,
    slowness: 1.0,
};

fn normal(rng: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

fn sample(
    rng: &mut fastrand::Rng,
    route_model: usize,
    version: &str,
    behaviour: Behaviour,
) -> Sample {
    let answered = rng.f64() >= behaviour.failures;
    let first_ms = (5.0 + LOG_FIRST_BYTE_SD * normal(rng)).exp() * behaviour.slowness;
    Sample {
        route: format!("r-{}", route_model / 3).parse().unwrap(),
        version: version.parse().unwrap(),
        endpoint: format!("{version}-{}", rng.usize(..4)).parse().unwrap(),
        model: Some(format!("m-{}", route_model % 3).parse().unwrap()),
        outcome: if answered {
            AttemptOutcome::Answered(Some(Duration::from_secs_f64(first_ms / 1_000.0)))
        } else {
            AttemptOutcome::Failed
        },
    }
}

/// Number of attempts of the new version, over all entries, until one of them finds
/// it bad, and how many of these were bad; `None` if none does within `max_attempts`.
fn attempts_until_detection(
    rng: &mut fastrand::Rng,
    behaviour: Behaviour,
    max_attempts: usize,
) -> Option<(usize, usize)> {
    let target: VersionName = "v2".parse().unwrap();
    let entries = [(); ENTRIES].map(|()| Evidence::default());
    for evidence in &entries {
        for _ in 0..60 * ROUTE_MODELS {
            let route_model = rng.usize(..ROUTE_MODELS);
            evidence.add(sample(rng, route_model, "v1", GOOD));
        }
    }
    let mut bad = 0;
    for attempt in 1..=max_attempts {
        let evidence = &entries[rng.usize(..ENTRIES)];
        let route_model = rng.usize(..ROUTE_MODELS);
        let drawn = sample(rng, route_model, "v2", behaviour);
        bad += usize::from(drawn.outcome == AttemptOutcome::Failed || behaviour.slowness > 1.0);
        evidence.add(drawn);
        if evidence.compare(&target).is_bad() {
            return Some((attempt, bad));
        }
    }
    None
}

/// Guards against rolling back a good version because a few of its requests failed
/// or were slow by coincidence at one of the entries.
#[test]
fn a_good_version_is_rarely_rolled_back() {
    let mut rng = fastrand::Rng::with_seed(7);
    let trial = |_: &usize| attempts_until_detection(&mut rng, GOOD, 300 * ENTRIES).is_some();
    let rolled_back = (0..TRIALS).filter(trial).count();
    assert!(
        rolled_back <= 1,
        "{rolled_back} of {TRIALS} good versions rolled back"
    );
}

/// Guards against detecting a bad version too late: the contract allows 50 bad
/// answers over all entries before the time for the rollback begins.
#[test]
fn a_bad_version_is_detected_in_time() {
    struct Case {
        name: &'static str,
        behaviour: Behaviour,
    }
    let cases = [
        Case {
            name: "all requests fail",
            behaviour: Behaviour {
                failures: 1.0,
                ..GOOD
            },
        },
        Case {
            name: "half of the requests fail",
            behaviour: Behaviour {
                failures: 0.5,
                ..GOOD
            },
        },
        Case {
            name: "a third of the requests fails",
            behaviour: Behaviour {
                failures: 0.33,
                ..GOOD
            },
        },
        Case {
            name: "eight times as slow",
            behaviour: Behaviour {
                slowness: 8.0,
                ..GOOD
            },
        },
    ];
    for case in cases {
        let mut rng = fastrand::Rng::with_seed(11);
        let late = (0..TRIALS).filter(|_| {
            let found = attempts_until_detection(&mut rng, case.behaviour, 1_000);
            found.is_none_or(|(_, bad)| bad > MAX_BAD_ANSWERS)
        });
        let late = late.count();
        assert_eq!(late, 0, "{}: late in {late}", case.name);
    }
}
