//! Life cycle of a rollout over time.

use quetzalworks::rollout::{AnyCanary, Observation, Stage, Verdict};
use quetzalworks::runtime::Moment;
use quetzalworks::units::{Millis, Share};

const START_MS: u64 = 50_000;
const DURATION_MS: u64 = 20_000;

fn begin() -> AnyCanary {
    AnyCanary::begin(
        "v2".parse().unwrap(),
        Millis(DURATION_MS),
        Share::clamped(0.15),
        Moment::from_millis(START_MS),
    )
}

fn verdict(is_bad: bool) -> Verdict {
    if is_bad { Verdict::Bad } else { Verdict::Sound }
}

/// Guards against a rollout that stays incomplete: a good version must be complete
/// before the ordered duration ends, and a bad one must be rolled back at once.
#[test]
fn stages_follow_time_and_evidence() {
    struct Case {
        name: &'static str,
        bad_from_ms: Option<u64>,
        enough_from_ms: u64,
        /// Time after the start in ms, and the expected stage at that time.
        stages: &'static [(u64, Stage)],
    }
    let cases = [
        Case {
            name: "a good version is complete within the duration",
            bad_from_ms: None,
            enough_from_ms: 0,
            stages: &[
                (16_300, Stage::Probing),
                (16_500, Stage::Ramping),
                (17_800, Stage::Full),
                (18_900, Stage::Completed),
            ],
        },
        Case {
            name: "bad from the start",
            bad_from_ms: Some(1_000),
            enough_from_ms: 0,
            stages: &[
                (900, Stage::Probing),
                (1_100, Stage::RolledBack),
                (19_000, Stage::RolledBack),
            ],
        },
        Case {
            name: "bad after all traffic has moved",
            bad_from_ms: Some(18_000),
            enough_from_ms: 0,
            stages: &[(17_900, Stage::Full), (18_100, Stage::RolledBack)],
        },
        Case {
            name: "too few endpoints delay the ramp",
            bad_from_ms: None,
            enough_from_ms: 17_000,
            stages: &[
                (16_900, Stage::Probing),
                (17_100, Stage::Ramping),
                (18_900, Stage::Completed),
            ],
        },
    ];
    for case in cases {
        let mut canary = begin();
        for elapsed_ms in (0..DURATION_MS).step_by(100) {
            let now = Moment::from_millis(START_MS + elapsed_ms);
            canary = canary.advance(Observation {
                now,
                verdict: verdict(case.bad_from_ms.is_some_and(|from| elapsed_ms >= from)),
                enough_endpoints: elapsed_ms >= case.enough_from_ms,
                objection_time_passed: true,
            });
            if let Some((_, stage)) = case.stages.iter().find(|(at, _)| *at == elapsed_ms) {
                assert_eq!(
                    canary.stage(now),
                    *stage,
                    "{} at {elapsed_ms} ms",
                    case.name
                );
            }
        }
    }
}

/// Guards against an entry that starts late and moves sessions back to the old
/// version, and against two entries that end a rollout differently.
#[test]
fn recorded_stages_advance_other_entries() {
    struct Case {
        recorded: &'static [Stage],
        share_is_full: bool,
        stage: Stage,
    }
    let cases = [
        Case {
            recorded: &[Stage::Probing],
            share_is_full: false,
            stage: Stage::Probing,
        },
        Case {
            recorded: &[Stage::Ramping],
            share_is_full: false,
            stage: Stage::Ramping,
        },
        Case {
            recorded: &[Stage::Full],
            share_is_full: true,
            stage: Stage::Full,
        },
        Case {
            recorded: &[Stage::Ramping, Stage::Full],
            share_is_full: true,
            stage: Stage::Full,
        },
        Case {
            recorded: &[Stage::Completed],
            share_is_full: true,
            stage: Stage::Completed,
        },
        Case {
            recorded: &[Stage::RolledBack],
            share_is_full: false,
            stage: Stage::RolledBack,
        },
        Case {
            recorded: &[Stage::Full, Stage::RolledBack],
            share_is_full: false,
            stage: Stage::RolledBack,
        },
    ];
    let now = Moment::from_millis(START_MS + 1_000);
    for case in cases {
        let mut canary = begin();
        for stage in case.recorded {
            canary = canary.adopt_reported_stage(*stage, now);
        }
        assert_eq!(canary.stage(now), case.stage, "{:?}", case.recorded);
        let is_full = canary.share(now).get() >= 1.0;
        assert_eq!(is_full, case.share_is_full, "{:?}", case.recorded);
    }
}

/// Guards against a bad version that exceeds the permitted exposure while the
/// rollout is probing.
#[test]
fn the_probing_share_is_within_the_permitted_exposure() {
    let share = begin().share(Moment::from_millis(START_MS));
    assert!(share.get() > 0.0 && share.get() <= 0.15 / 2.0, "{share}");
}

/// Guards against moving existing sessions to a version with little evidence.
/// The contract allows three such sessions in the first half of a rollout,
/// whatever the size of the fleet.
#[test]
fn no_session_changes_its_version_in_the_first_half() {
    struct Case {
        elapsed_ms: u64,
        moves_sessions: bool,
        moves_others: bool,
    }
    let cases = [
        Case {
            elapsed_ms: 0,
            moves_sessions: false,
            moves_others: true,
        },
        Case {
            elapsed_ms: 5_000,
            moves_sessions: false,
            moves_others: true,
        },
        Case {
            elapsed_ms: 9_900,
            moves_sessions: false,
            moves_others: true,
        },
        Case {
            elapsed_ms: 11_000,
            moves_sessions: true,
            moves_others: true,
        },
        Case {
            elapsed_ms: 15_000,
            moves_sessions: true,
            moves_others: true,
        },
        Case {
            elapsed_ms: 16_000,
            moves_sessions: true,
            moves_others: true,
        },
    ];
    for case in cases {
        let now = Moment::from_millis(START_MS + case.elapsed_ms);
        let canary = begin().advance(Observation {
            now,
            verdict: Verdict::Sound,
            enough_endpoints: true,
            objection_time_passed: true,
        });
        let moves = (
            canary.session_share(now).get() > 0.0,
            canary.share(now).get() > 0.0,
        );
        let expected = (case.moves_sessions, case.moves_others);
        assert_eq!(moves, expected, "after {} ms", case.elapsed_ms);
    }
}

/// Guards against a version that turns bad late, after most of the traffic has
/// moved. Whenever that happens, its share of all requests stays within the limit.
#[test]
fn a_version_that_turns_bad_late_stays_within_the_exposure() {
    const STEP_MS: usize = 50;
    /// Time from the first bad answers to their detection.
    const DETECTION_MS: u64 = 600;
    for bad_from_ms in (0..DURATION_MS).step_by(500) {
        let mut canary = begin();
        let mut exposed = 0.0;
        for elapsed_ms in (0..DURATION_MS).step_by(STEP_MS) {
            let now = Moment::from_millis(START_MS + elapsed_ms);
            canary = canary.advance(Observation {
                now,
                verdict: verdict(elapsed_ms >= bad_from_ms + DETECTION_MS),
                enough_endpoints: true,
                objection_time_passed: true,
            });
            if canary.stage(now) == Stage::Completed {
                break;
            }
            exposed += canary.share(now).get() * f64::from(u32::try_from(STEP_MS).unwrap());
        }
        let share = exposed / f64::from(u32::try_from(DURATION_MS).unwrap());
        assert!(share <= 0.15, "bad from {bad_from_ms} ms: {share}");
    }
}
