//! Rollouts in the control state: evidence, reports and their write conditions.

use std::collections::BTreeSet;
use std::time::Duration;

use quetzalworks::direct::{Effect, RolloutReport, Sample, VersionSplit};
use quetzalworks::rollout::{AttemptOutcome, Stage};
use serde_json::json;

use crate::direct::world::{TestWorld, operator_change, position};

fn started() -> TestWorld {
    let mut world = TestWorld::new();
    world.writers(&[("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")]);
    let order = json!({ "Service": "writer", "Target": "v2", "DurationS": 20 });
    world.operator(false, vec![operator_change("rollout/writer", Some(&order))]);
    world
}

fn stage(world: &TestWorld) -> Stage {
    match &world.snapshot.services[&"writer".parse().unwrap()].split {
        VersionSplit::Canary(canary) => canary.stage(world.now),
        split => panic!("no rollout in progress: {split:?}"),
    }
}

/// Report of the order of version `v2`.
pub fn report(stage: Stage) -> RolloutReport {
    RolloutReport {
        service: "writer".parse().unwrap(),
        target: "v2".parse().unwrap(),
        stage,
        withdrawn: BTreeSet::new(),
    }
}

/// Report of the order that follows the rollback.
fn next_report(stage: Stage) -> RolloutReport {
    RolloutReport {
        target: "v3".parse().unwrap(),
        withdrawn: ["v2".parse().unwrap()].into(),
        ..report(stage)
    }
}

fn order(world: &mut TestWorld, target: Option<&str>) {
    let order =
        target.map(|target| json!({ "Service": "writer", "Target": target, "DurationS": 20 }));
    let change = operator_change("rollout/writer", order.as_ref());
    world.operator(false, vec![change]);
}

/// Guards against the use of a version that was rolled back once the next order has
/// replaced its own, by entries that have seen the rollback and by those that start later.
#[test]
fn a_version_that_was_rolled_back_stays_out_of_use() {
    struct Case {
        name: &'static str,
        act: fn(&mut TestWorld),
        usable: &'static [&'static str],
        /// Withdrawn versions in the last report that is requested.
        reported: &'static [&'static str],
    }
    let rolled_back = |world: &mut TestWorld| {
        world.reports(false, vec![report(Stage::RolledBack)], 1);
    };
    let cases = [
        Case {
            name: "the next version is ordered",
            act: |world| order(world, Some("v3")),
            usable: &["a", "b", "e"],
            reported: &["v2"],
        },
        Case {
            name: "the order is withdrawn",
            act: |world| order(world, None),
            usable: &["a", "b", "e"],
            reported: &[],
        },
        Case {
            name: "the same version is ordered again after the next one",
            act: |world| {
                order(world, Some("v3"));
                world.reports(false, vec![next_report(Stage::Probing)], 2);
                order(world, Some("v2"));
            },
            usable: &["a", "b", "c", "d", "e"],
            reported: &[],
        },
    ];
    let endpoints = [
        ("a", "v1"),
        ("b", "v1"),
        ("c", "v2"),
        ("d", "v2"),
        ("e", "v3"),
    ];
    for case in cases {
        let mut world = started();
        world.writers(&endpoints);
        rolled_back(&mut world);
        world.effects.clear();
        (case.act)(&mut world);
        world.advance(1_000);
        assert_eq!(world.usable("writer"), case.usable, "{}", case.name);
        let mut reports = world.effects.iter().filter_map(|effect| match effect {
            Effect::Report(report, _) => Some(report),
            _ => None,
        });
        let withdrawn = reports.next_back().map(|report| report.withdrawn.clone());
        let expected: BTreeSet<_> = case.reported.iter().map(|v| v.parse().unwrap()).collect();
        assert_eq!(withdrawn.unwrap_or_default(), expected, "{}", case.name);
    }
    let mut late = TestWorld::before_reports();
    late.writers(&endpoints);
    order(&mut late, Some("v3"));
    late.reports(true, vec![next_report(Stage::Probing)], 2);
    assert_eq!(
        late.usable("writer"),
        ["a", "b", "e"],
        "an entry that starts"
    );
}

/// Attempts of one version on a route, `failures` of which fail.
struct Runs {
    route: &'static str,
    version: &'static str,
    count: u32,
    failures: u32,
    first_ms: u64,
}

/// Guards against a bad version that is not detected, and a good one that is
/// rolled back because every version fails or is slow.
#[test]
fn evidence_decides_on_the_rollback() {
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
            name: "as good as the old version",
            runs: vec![runs("r", "v1", 100, 1, 200), runs("r", "v2", 20, 0, 250)],
            stage: Stage::Probing,
        },
        Case {
            name: "half of the attempts fail",
            runs: vec![runs("r", "v1", 100, 1, 200), runs("r", "v2", 8, 4, 200)],
            stage: Stage::RolledBack,
        },
        Case {
            name: "half fail on one of two routes",
            runs: vec![
                runs("r", "v1", 100, 1, 200),
                runs("r", "v2", 30, 0, 200),
                runs("q", "v1", 100, 1, 200),
                runs("q", "v2", 8, 4, 200),
            ],
            stage: Stage::RolledBack,
        },
        Case {
            name: "both versions fail alike",
            runs: vec![runs("r", "v1", 100, 30, 200), runs("r", "v2", 20, 6, 200)],
            stage: Stage::Probing,
        },
        Case {
            name: "two failures may be coincidence",
            runs: vec![runs("r", "v1", 100, 0, 200), runs("r", "v2", 3, 2, 200)],
            stage: Stage::Probing,
        },
        Case {
            name: "three failures of eight may be coincidence at one of many entries",
            runs: vec![runs("r", "v1", 100, 1, 200), runs("r", "v2", 8, 3, 200)],
            stage: Stage::Probing,
        },
        Case {
            name: "several times slower",
            runs: vec![runs("r", "v1", 100, 0, 100), runs("r", "v2", 8, 0, 700)],
            stage: Stage::RolledBack,
        },
        Case {
            name: "twice as slow, as after a cold start",
            runs: vec![runs("r", "v1", 100, 0, 100), runs("r", "v2", 8, 0, 200)],
            stage: Stage::Probing,
        },
    ];
    for case in cases {
        let mut world = started();
        let writer = &world.snapshot.services[&"writer".parse().unwrap()];
        let evidence = writer.evidence.clone().unwrap();
        for runs in case.runs {
            for i in 0..runs.count {
                let outcome = if i >= runs.failures {
                    AttemptOutcome::Answered(Some(Duration::from_millis(runs.first_ms)))
                } else {
                    AttemptOutcome::Failed
                };
                // Every version has two endpoints.
                let endpoint = format!("{}-{}", runs.version, i % 2);
                evidence.add(Sample {
                    route: runs.route.parse().unwrap(),
                    version: runs.version.parse().unwrap(),
                    endpoint: endpoint.parse().unwrap(),
                    model: None,
                    outcome,
                });
            }
        }
        world.tick(vec![]);
        assert_eq!(stage(&world), case.stage, "{}", case.name);
    }
}

/// Guards against a paused entry that overwrites the report of another one: each
/// write is conditional on the end of the topic that this entry has read.
#[test]
fn reports_are_written_conditionally() {
    let mut world = started();
    assert_eq!(
        world.effects,
        [Effect::Report(report(Stage::Probing), position(0))]
    );
    // Another entry wrote first and has found the version to be bad.
    world.effects.clear();
    world.reports(
        false,
        vec![report(Stage::Probing), report(Stage::RolledBack)],
        2,
    );
    assert_eq!(stage(&world), Stage::RolledBack);
    world.advance(20_000);
    assert_eq!(
        world.effects,
        [],
        "nothing is written after the end of a rollout"
    );
}

/// Guards against a rollout whose stage is never recorded because one write was lost.
#[test]
fn a_lost_report_is_retried() {
    let mut world = started();
    world.effects.clear();
    world.advance(1_000);
    let writes = world
        .effects
        .iter()
        .filter(|effect| **effect == Effect::Report(report(Stage::Probing), position(0)))
        .count();
    assert!((1..=3).contains(&writes), "{writes} writes in a second");
}

/// Guards against an entry that has just started and uses a version that other
/// entries have rolled back.
#[test]
fn a_new_entry_waits_for_the_reports() {
    let mut world = TestWorld::before_reports();
    world.writers(&[("a", "v1"), ("b", "v2")]);
    let order = json!({ "Service": "writer", "Target": "v2", "DurationS": 20 });
    world.operator(false, vec![operator_change("rollout/writer", Some(&order))]);
    let split = |world: &TestWorld| {
        let writer = &world.snapshot.services[&"writer".parse().unwrap()];
        writer.split.clone()
    };
    assert_eq!(
        split(&world),
        VersionSplit::StageUnknown("v2".parse().unwrap())
    );
    world.advance(1_000);
    assert_eq!(
        world.effects,
        [],
        "nothing is written before the reports are read"
    );
    world.reports(true, vec![report(Stage::RolledBack)], 3);
    assert_eq!(stage(&world), Stage::RolledBack);
}

/// Guards against an entry with little evidence that completes a rollout by time
/// alone although another one has found the version to be bad and could not report
/// it during an outage of the store.
#[test]
fn a_rollout_is_completed_unless_an_entry_objects() {
    struct Case {
        name: &'static str,
        /// Stages recorded after 19 s, each with the time that then passes in ms.
        reports: &'static [(Stage, u64)],
        end: Stage,
    }
    let cases = [
        Case {
            name: "nothing is recorded",
            reports: &[],
            end: Stage::Full,
        },
        Case {
            name: "an earlier stage is recorded",
            reports: &[(Stage::Ramping, 3_000)],
            end: Stage::Full,
        },
        Case {
            name: "the full stage is recorded, but not for long enough",
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
        let mut world = started();
        world.advance(19_000);
        for (end, (recorded, pause)) in (1..).zip(case.reports) {
            world.reports(false, vec![report(*recorded)], end);
            world.advance(*pause);
        }
        assert_eq!(stage(&world), case.end, "{}", case.name);
    }
}
