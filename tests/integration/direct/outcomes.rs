//! Which attempts of a request count as evidence about the version that was tried.

use std::sync::Arc;
use std::time::Duration;

use quetzalworks::direct::{Evidence, Sample};
use quetzalworks::gateway::{Outcomes, Waiting};
use quetzalworks::rollout::AttemptOutcome;

fn sample(version: &str, outcome: AttemptOutcome) -> Sample {
    Sample {
        route: "r".parse().unwrap(),
        version: version.parse().unwrap(),
        endpoint: "e".parse().unwrap(),
        model: None,
        outcome,
    }
}

const ANSWERED: AttemptOutcome = AttemptOutcome::Answered(None);
const FAILED: AttemptOutcome = AttemptOutcome::Failed;

/// Guards against requests that fail wherever they run and hide the failures of a bad
/// version, or count against a sound one.
#[test]
fn a_request_that_fails_everywhere_says_nothing_about_a_version() {
    struct Case {
        name: &'static str,
        attempts: &'static [(&'static str, AttemptOutcome)],
        /// Attempts and failures that count for the new version.
        counted: (u32, u32),
    }
    let cases = [
        Case {
            name: "answered",
            attempts: &[("v2", ANSWERED)],
            counted: (1, 0),
        },
        Case {
            name: "one attempt that failed",
            attempts: &[("v2", FAILED)],
            counted: (1, 1),
        },
        Case {
            name: "answered by the old version after a failure of the new one",
            attempts: &[("v2", FAILED), ("v1", ANSWERED)],
            counted: (1, 1),
        },
        Case {
            name: "failed at both versions",
            attempts: &[("v2", FAILED), ("v1", FAILED)],
            counted: (0, 0),
        },
        Case {
            name: "failed at two endpoints of the new version",
            attempts: &[("v2", FAILED), ("v2", FAILED)],
            counted: (0, 0),
        },
    ];
    for case in cases {
        let evidence = Arc::new(Evidence::default());
        let mut outcomes = Outcomes::default();
        for (version, outcome) in case.attempts {
            outcomes.add(&evidence, sample(version, *outcome));
        }
        drop(outcomes);
        let comparison = evidence.compare(&"v2".parse().unwrap());
        let counted = (comparison.attempts(), comparison.failures());
        assert_eq!(counted, case.counted, "{}", case.name);
    }
}

/// Guards against slow attempts that are given up, or still wait, and count nowhere.
#[test]
fn attempts_without_a_first_byte_count_as_slow() {
    struct Case {
        name: &'static str,
        ends: fn(Option<Waiting>) -> Option<Waiting>,
        slow: u32,
    }
    let cases = [
        Case {
            name: "still waiting",
            ends: |waiting| waiting,
            slow: 1,
        },
        Case {
            name: "given up",
            ends: |waiting| {
                drop(waiting);
                None
            },
            slow: 1,
        },
        Case {
            name: "answered",
            ends: |waiting| {
                if let Some(waiting) = waiting {
                    waiting.end();
                }
                None
            },
            slow: 0,
        },
    ];
    for case in cases {
        let evidence = Arc::new(Evidence::default());
        for _ in 0..20 {
            let first = AttemptOutcome::Answered(Some(Duration::from_millis(10)));
            evidence.add(sample("v1", first));
        }
        let waiting = Waiting::begin(&evidence, sample("v2", ANSWERED));
        std::thread::sleep(Duration::from_millis(100));
        let waiting = (case.ends)(Some(waiting));
        let comparison = evidence.compare(&"v2".parse().unwrap());
        assert_eq!(comparison.slow(), case.slow, "{}", case.name);
        drop(waiting);
    }
}
