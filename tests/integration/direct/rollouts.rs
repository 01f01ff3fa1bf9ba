//! Roll-outs over the tables: evidence, reports and their conditions.

use std::time::Duration;

use quetzalworks::direct::{Effect, RolloutReport, Sample, VersionSplit};
use quetzalworks::ids::Offset;
use quetzalworks::rollout::Stage;
use serde_json::json;

use crate::direct::world::{Ticked, operator_change};

fn started() -> Ticked {
    let mut ticked = Ticked::new();
    ticked.writers(&[("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")]);
    let order = json!({ "Service": "writer", "Target": "v2", "DurationS": 20 });
    ticked.operator(false, vec![operator_change("rollout/writer", Some(&order))]);
    ticked
}

fn stage(ticked: &Ticked) -> Stage {
    match &ticked.snapshot.services[&"writer".parse().unwrap()].split {
        VersionSplit::Canary(canary) => canary.stage(ticked.now),
        split => panic!("not under way: {split:?}"),
    }
}

fn report(stage: Stage) -> RolloutReport {
    RolloutReport {
        service: "writer".parse().unwrap(),
        target: "v2".parse().unwrap(),
        stage,
    }
}

/// Runs of one version on a route.
struct Runs {
    route: &'static str,
    version: &'static str,
    count: u32,
    failures: u32,
    first_ms: u64,
}

/// Guards against a bad version that is not recognised, and a good one that is
/// taken for bad because everything fails or is slow.
#[test]
fn evidence_decides() {
    const fn runs(
        route: &'static str,
        version: &'static str,
        count: u32,
        failures: u32,
        first_ms: u64,
    ) -> Runs {
        Runs {
            route,
            version,
            count,
            failures,
            first_ms,
        }
    }
    struct Case {
        name: &'static str,
        runs: Vec<Runs>,
        stage: Stage,
    }
    let cases = [
        Case {
            name: "as good as the old one",
            runs: vec![runs("r", "v1", 100, 1, 200), runs("r", "v2", 20, 0, 250)],
            stage: Stage::Probing,
        },
        Case {
            name: "fails",
            runs: vec![runs("r", "v1", 100, 1, 200), runs("r", "v2", 8, 4, 200)],
            stage: Stage::RolledBack,
        },
        Case {
            name: "fails on one route of two",
            runs: vec![
                runs("r", "v1", 100, 1, 200),
                runs("r", "v2", 30, 0, 200),
                runs("q", "v1", 100, 1, 200),
                runs("q", "v2", 8, 4, 200),
            ],
            stage: Stage::RolledBack,
        },
        Case {
            name: "both fail alike",
            runs: vec![runs("r", "v1", 100, 30, 200), runs("r", "v2", 20, 6, 200)],
            stage: Stage::Probing,
        },
        Case {
            name: "two failures may be chance",
            runs: vec![runs("r", "v1", 100, 0, 200), runs("r", "v2", 3, 2, 200)],
            stage: Stage::Probing,
        },
        Case {
            name: "three failures of eight may be chance, at one entry of many",
            runs: vec![runs("r", "v1", 100, 1, 200), runs("r", "v2", 8, 3, 200)],
            stage: Stage::Probing,
        },
        Case {
            name: "several times slower",
            runs: vec![runs("r", "v1", 100, 0, 100), runs("r", "v2", 8, 0, 700)],
            stage: Stage::RolledBack,
        },
        Case {
            name: "twice as slow, as after a start",
            runs: vec![runs("r", "v1", 100, 0, 100), runs("r", "v2", 8, 0, 200)],
            stage: Stage::Probing,
        },
    ];
    for case in cases {
        let mut ticked = started();
        let writer = &ticked.snapshot.services[&"writer".parse().unwrap()];
        let evidence = writer.evidence.clone().unwrap();
        for runs in case.runs {
            for i in 0..runs.count {
                let answered = i >= runs.failures;
                evidence.add(Sample {
                    route: runs.route.parse().unwrap(),
                    version: runs.version.parse().unwrap(),
                    model: None,
                    answered,
                    first: answered.then_some(Duration::from_millis(runs.first_ms)),
                });
            }
        }
        ticked.tick(vec![]);
        assert_eq!(stage(&ticked), case.stage, "{}", case.name);
    }
}

/// Guards against a paused entry that overwrites what another has written:
/// each report is conditional on the end that this entry has read to.
#[test]
fn reports_are_written_under_a_condition() {
    let mut ticked = started();
    assert_eq!(
        ticked.effects,
        [Effect::Report(report(Stage::Probing), Offset(0))]
    );
    // Another entry was first, and has seen that the version is bad.
    ticked.effects.clear();
    ticked.reports(
        false,
        vec![report(Stage::Probing), report(Stage::RolledBack)],
        2,
    );
    assert_eq!(stage(&ticked), Stage::RolledBack);
    ticked.pass(20_000);
    assert_eq!(
        ticked.effects,
        [],
        "nothing is written after the end of a roll-out"
    );
}

/// Guards against a roll-out whose end is not on record because one write was lost.
#[test]
fn a_lost_report_is_written_again() {
    let mut ticked = started();
    ticked.effects.clear();
    ticked.pass(1_000);
    let again = ticked
        .effects
        .iter()
        .filter(|effect| **effect == Effect::Report(report(Stage::Probing), Offset(0)))
        .count();
    assert!((1..=3).contains(&again), "{again} writes in a second");
}

/// Guards against an entry that has just started and sends work to a version
/// that the others have rolled back.
#[test]
fn a_started_entry_waits_for_the_reports() {
    let mut ticked = Ticked::unreported();
    ticked.writers(&[("a", "v1"), ("b", "v2")]);
    let order = json!({ "Service": "writer", "Target": "v2", "DurationS": 20 });
    ticked.operator(false, vec![operator_change("rollout/writer", Some(&order))]);
    let split = |ticked: &Ticked| {
        let writer = &ticked.snapshot.services[&"writer".parse().unwrap()];
        writer.split.clone()
    };
    assert_eq!(
        split(&ticked),
        VersionSplit::Unsettled("v2".parse().unwrap())
    );
    ticked.pass(1_000);
    assert_eq!(
        ticked.effects,
        [],
        "nothing is written before the reports are read"
    );
    ticked.reports(true, vec![report(Stage::RolledBack)], 3);
    assert_eq!(stage(&ticked), Stage::RolledBack);
}

/// Guards against an entry that has seen little and completes a roll-out by
/// time alone, although another one has found the version bad and could not
/// say so while the store was away.
#[test]
fn a_roll_out_is_completed_where_no_entry_objects() {
    struct Case {
        name: &'static str,
        /// What comes on record after the time for it, each with a pause after it.
        reports: &'static [(Stage, u64)],
        end: Stage,
    }
    let cases = [
        Case {
            name: "nothing is on record",
            reports: &[],
            end: Stage::Full,
        },
        Case {
            name: "an earlier stage is on record",
            reports: &[(Stage::Ramping, 3_000)],
            end: Stage::Full,
        },
        Case {
            name: "all traffic is on record, but not for long",
            reports: &[(Stage::Full, 500)],
            end: Stage::Full,
        },
        Case {
            name: "no entry objects",
            reports: &[(Stage::Full, 1_000)],
            end: Stage::Completed,
        },
        Case {
            name: "an entry objects",
            reports: &[(Stage::Full, 500), (Stage::RolledBack, 3_000)],
            end: Stage::RolledBack,
        },
    ];
    for case in cases {
        let mut ticked = started();
        ticked.pass(19_000);
        for (end, (on_record, pause)) in (1..).zip(case.reports) {
            ticked.reports(false, vec![report(*on_record)], end);
            ticked.pass(*pause);
        }
        assert_eq!(stage(&ticked), case.end, "{}", case.name);
    }
}
