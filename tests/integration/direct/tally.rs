//! How soon answers tell a bad version from a good one.

use std::time::Duration;

use quetzalworks::direct::{Evidence, Sample};
use quetzalworks::ids::VersionName;

/// Routes times models of a large service.
const KINDS: usize = 6;
/// Entries that judge, each by its own runs.
const ENTRIES: usize = 8;
/// Bad answers that a bad version may give before the time for its roll-back begins.
const MAX_BAD: usize = 50;
/// Roll-outs that are tried.
const TRIALS: usize = 50;
/// Spread of the logarithm of first bytes: prompts differ in length, and some are cached.
const SPREAD: f64 = 1.0;

/// How the runs of a version end.
#[derive(Clone, Copy)]
struct Nature {
    failures: f64,
    slowness: f64,
}

const GOOD: Nature = Nature {
    failures: 0.02,
    slowness: 1.0,
};

fn normal(rng: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

fn sample(rng: &mut fastrand::Rng, kind: usize, version: &str, nature: Nature) -> Sample {
    let answered = rng.f64() >= nature.failures;
    let first_ms = (5.0 + SPREAD * normal(rng)).exp() * nature.slowness;
    Sample {
        route: format!("r-{}", kind / 3).parse().unwrap(),
        version: version.parse().unwrap(),
        model: Some(format!("m-{}", kind % 3).parse().unwrap()),
        answered,
        first: answered.then(|| Duration::from_secs_f64(first_ms / 1_000.0)),
    }
}

/// Runs of the new version over all entries until one of them finds it bad,
/// and how many of the runs were bad; `None` where none does within `runs`.
fn found_bad(rng: &mut fastrand::Rng, nature: Nature, runs: usize) -> Option<(usize, usize)> {
    let target: VersionName = "v2".parse().unwrap();
    let entries = [(); ENTRIES].map(|()| Evidence::default());
    for evidence in &entries {
        for _ in 0..60 * KINDS {
            let kind = rng.usize(..KINDS);
            evidence.add(sample(rng, kind, "v1", GOOD));
        }
    }
    let mut bad = 0;
    for run in 1..=runs {
        let evidence = &entries[rng.usize(..ENTRIES)];
        let kind = rng.usize(..KINDS);
        let drawn = sample(rng, kind, "v2", nature);
        bad += usize::from(!drawn.answered || nature.slowness > 1.0);
        evidence.add(drawn);
        if evidence.compare(&target).is_bad() {
            return Some((run, bad));
        }
    }
    None
}

/// Guards against a good version that is rolled back because a few of its
/// requests have failed or were slow by chance at one of the entries.
#[test]
fn chance_rolls_no_good_version_back() {
    let mut rng = fastrand::Rng::with_seed(7);
    let trial = |_: &usize| found_bad(&mut rng, GOOD, 300 * ENTRIES).is_some();
    let lost = (0..TRIALS).filter(trial).count();
    assert!(lost <= 1, "{lost} of {TRIALS} good versions rolled back");
}

/// Guards against a bad version that is found too late: the contract allows 50
/// bad answers over all entries before the time for the roll-back begins.
#[test]
fn a_bad_version_is_found_in_time() {
    struct Case {
        name: &'static str,
        nature: Nature,
    }
    let cases = [
        Case {
            name: "all fail",
            nature: Nature {
                failures: 1.0,
                ..GOOD
            },
        },
        Case {
            name: "half fail",
            nature: Nature {
                failures: 0.5,
                ..GOOD
            },
        },
        Case {
            name: "a third fails",
            nature: Nature {
                failures: 0.33,
                ..GOOD
            },
        },
        Case {
            name: "eight times as slow",
            nature: Nature {
                slowness: 8.0,
                ..GOOD
            },
        },
    ];
    for case in cases {
        let mut rng = fastrand::Rng::with_seed(11);
        let late = (0..TRIALS).filter(|_| {
            let found = found_bad(&mut rng, case.nature, 1_000);
            found.is_none_or(|(_, bad)| bad > MAX_BAD)
        });
        let late = late.count();
        assert_eq!(late, 0, "{}: late in {late}", case.name);
    }
}
