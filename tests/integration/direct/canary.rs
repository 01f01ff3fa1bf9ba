//! Life cycle of a roll-out by time.

use quetzalworks::rollout::{AnyCanary, Observation, Stage};
use quetzalworks::runtime::Moment;
use quetzalworks::units::{Millis, Share};

const START: u64 = 50_000;
const DURATION: u64 = 20_000;

fn begin() -> AnyCanary {
    AnyCanary::begin(
        "v2".parse().unwrap(),
        Millis(DURATION),
        Share::clamped(0.15),
        Moment::from_millis(START),
    )
}

/// Guards against a version that stays half in: a good one must be in before
/// its time is over, a bad one out at once.
#[test]
fn stages_follow_time_and_evidence() {
    struct Case {
        name: &'static str,
        bad_from: Option<u64>,
        enough_from: u64,
        /// Time after the start, and the stage then.
        stages: &'static [(u64, Stage)],
    }
    let cases = [
        Case {
            name: "a good version is in before the time is over",
            bad_from: None,
            enough_from: 0,
            stages: &[
                (15_100, Stage::Probing),
                (15_300, Stage::Ramping),
                (16_600, Stage::Full),
                (17_500, Stage::Completed),
            ],
        },
        Case {
            name: "bad from the start",
            bad_from: Some(1_000),
            enough_from: 0,
            stages: &[
                (900, Stage::Probing),
                (1_100, Stage::RolledBack),
                (19_000, Stage::RolledBack),
            ],
        },
        Case {
            name: "bad under full load",
            bad_from: Some(16_800),
            enough_from: 0,
            stages: &[(16_700, Stage::Full), (16_900, Stage::RolledBack)],
        },
        Case {
            name: "too few endpoints hold the ramp up",
            bad_from: None,
            enough_from: 16_000,
            stages: &[
                (15_900, Stage::Probing),
                (16_100, Stage::Ramping),
                (17_900, Stage::Completed),
            ],
        },
    ];
    for case in cases {
        let mut canary = begin();
        for passed in (0..DURATION).step_by(100) {
            let now = Moment::from_millis(START + passed);
            canary = canary.advance(Observation {
                now,
                bad: case.bad_from.is_some_and(|from| passed >= from),
                enough_endpoints: passed >= case.enough_from,
                unopposed: true,
            });
            if let Some((_, stage)) = case.stages.iter().find(|(at, _)| *at == passed) {
                assert_eq!(canary.stage(now), *stage, "{} at {passed} ms", case.name);
            }
        }
    }
}

/// Guards against an entry that starts late and sends sessions back to the
/// old version, and against two entries that end a roll-out differently.
#[test]
fn what_is_on_record_moves_other_entries_on() {
    struct Case {
        on_record: &'static [Stage],
        share_is_full: bool,
        stage: Stage,
    }
    let cases = [
        Case {
            on_record: &[Stage::Probing],
            share_is_full: false,
            stage: Stage::Probing,
        },
        Case {
            on_record: &[Stage::Ramping],
            share_is_full: false,
            stage: Stage::Ramping,
        },
        Case {
            on_record: &[Stage::Full],
            share_is_full: true,
            stage: Stage::Full,
        },
        Case {
            on_record: &[Stage::Ramping, Stage::Full],
            share_is_full: true,
            stage: Stage::Full,
        },
        Case {
            on_record: &[Stage::Completed],
            share_is_full: true,
            stage: Stage::Completed,
        },
        Case {
            on_record: &[Stage::RolledBack],
            share_is_full: false,
            stage: Stage::RolledBack,
        },
        Case {
            on_record: &[Stage::Full, Stage::RolledBack],
            share_is_full: false,
            stage: Stage::RolledBack,
        },
    ];
    let now = Moment::from_millis(START + 1_000);
    for case in cases {
        let mut canary = begin();
        for stage in case.on_record {
            canary = canary.settle(*stage, now);
        }
        assert_eq!(canary.stage(now), case.stage, "{:?}", case.on_record);
        let is_full = canary.share(now).get() >= 1.0;
        assert_eq!(is_full, case.share_is_full, "{:?}", case.on_record);
    }
}

/// Guards against a bad version that gets more than its permitted part while
/// it is observed.
#[test]
fn the_first_share_is_a_part_of_the_permitted_exposure() {
    let share = begin().share(Moment::from_millis(START));
    assert!(share.get() > 0.0 && share.get() <= 0.15 / 2.0, "{share}");
}

/// Guards against sessions that are under way when a roll-out begins and are
/// moved to a version that is hardly tried: the contract allows three of them
/// in the first half, whatever the size of the fleet.
#[test]
fn no_session_changes_its_version_in_the_first_half() {
    struct Case {
        passed: u64,
        moves_sessions: bool,
        moves_others: bool,
    }
    let cases = [
        Case {
            passed: 0,
            moves_sessions: false,
            moves_others: true,
        },
        Case {
            passed: 5_000,
            moves_sessions: false,
            moves_others: true,
        },
        Case {
            passed: 9_900,
            moves_sessions: false,
            moves_others: true,
        },
        Case {
            passed: 11_000,
            moves_sessions: true,
            moves_others: true,
        },
        Case {
            passed: 15_000,
            moves_sessions: true,
            moves_others: true,
        },
        Case {
            passed: 16_000,
            moves_sessions: true,
            moves_others: true,
        },
    ];
    for case in cases {
        let now = Moment::from_millis(START + case.passed);
        let canary = begin().advance(Observation {
            now,
            bad: false,
            enough_endpoints: true,
            unopposed: true,
        });
        let moves = (
            canary.session_share(now).get() > 0.0,
            canary.share(now).get() > 0.0,
        );
        let expected = (case.moves_sessions, case.moves_others);
        assert_eq!(moves, expected, "after {} ms", case.passed);
    }
}

/// Guards against a version that turns bad late, after most of the traffic has
/// moved: whenever it does, its part of all requests stays within the bound.
#[test]
fn a_version_that_turns_bad_late_stays_within_the_exposure() {
    const STEP: usize = 50;
    /// From the first bad answers to the verdict.
    const DETECTION: u64 = 600;
    for bad_from in (0..DURATION).step_by(500) {
        let mut canary = begin();
        let mut exposed = 0.0;
        for passed in (0..DURATION).step_by(STEP) {
            let now = Moment::from_millis(START + passed);
            canary = canary.advance(Observation {
                now,
                bad: passed >= bad_from + DETECTION,
                enough_endpoints: true,
                unopposed: true,
            });
            if canary.stage(now) == Stage::Completed {
                break;
            }
            exposed += canary.share(now).get() * f64::from(u32::try_from(STEP).unwrap());
        }
        let part = exposed / f64::from(u32::try_from(DURATION).unwrap());
        assert!(part <= 0.15, "bad from {bad_from} ms: {part}");
    }
}
