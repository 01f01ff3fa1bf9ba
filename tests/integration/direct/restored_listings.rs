//! What an entry makes of listings of a store that has come back from an older copy.

use quetzalworks::direct::{
    Batch, Effect, EndpointChange, Event, OperatorChange, RolloutReport, Scope,
};
use quetzalworks::ids::{EndpointId, Fingerprint, Offset, Position, StoreEra};
use quetzalworks::poison::{CrashReport, Subject, VisitStage};
use quetzalworks::rollout::Stage;
use quetzalworks::units::Rate;
use serde_json::{Value, json};

use crate::direct::rollouts::report;
use crate::direct::world::{TestWorld, config, entry, operator_change, record};

/// End of the topics in the copy.
const END: Position = Position {
    era: StoreEra(1),
    offset: Offset(7),
};

fn listing<T>(world: &TestWorld, scope: Scope, items: Vec<T>) -> Batch<T> {
    Batch {
        scope,
        items,
        end: END,
        confirmed: Some(world.now),
    }
}

fn operator(world: &mut TestWorld, scope: Scope, changes: Vec<OperatorChange>) {
    let batch = listing(world, scope, changes);
    world.tick(vec![Event::Operator(batch)]);
}

fn endpoints(world: &mut TestWorld, scope: Scope, changes: Vec<EndpointChange>) {
    let batch = listing(world, scope, changes);
    world.tick(vec![Event::Endpoints(batch)]);
}

fn reports(world: &mut TestWorld, reports: Vec<RolloutReport>) {
    let limits = listing(world, Scope::Restored, Vec::new());
    let reports = listing(world, Scope::Restored, reports);
    world.tick(vec![Event::LimitReports(limits), Event::Reports(reports)]);
}

fn configuration(version: u64) -> OperatorChange {
    operator_change("config", Some(&config(version)))
}

fn evacuated() -> OperatorChange {
    operator_change("evacuate/south", Some(&json!({})))
}

fn rollout() -> Value {
    json!({ "Service": "writer", "Target": "v2", "DurationS": 20 })
}

fn seen(id: &str, zone: &str, sequence: u64) -> EndpointChange {
    let mut value = entry("writer", "v1", sequence);
    value["Zone"] = zone.into();
    EndpointChange::Seen(record(id, &value))
}

/// Configuration 3, `near` in the domain `north` and `far` in `south`.
fn world() -> TestWorld {
    let mut world = TestWorld::new();
    world.operator(false, vec![configuration(3)]);
    world.endpoints(
        true,
        vec![seen("far", "south", 5), seen("near", "north", 5)],
    );
    world
}

/// Guards against orders, endpoints and configurations that end or come back because the copy
/// is older than what the entry knows, and against those that never end.
#[test]
fn what_is_known_stays_in_force_until_all_is_written_again() {
    struct Case {
        name: &'static str,
        act: fn(&mut TestWorld),
        usable: &'static [&'static str],
        revision: u64,
    }
    let case = |name, act, usable| Case {
        name,
        act,
        usable,
        revision: 3,
    };
    let cases = [
        case(
            "an evacuation that the copy lacks",
            |world| {
                world.operator(false, vec![evacuated()]);
                operator(world, Scope::Restored, vec![configuration(2)]);
            },
            &["near"],
        ),
        case(
            "an evacuation that is not written again",
            |world| {
                world.operator(false, vec![evacuated()]);
                operator(world, Scope::Restored, vec![configuration(2)]);
                operator(world, Scope::Complete, vec![configuration(2)]);
            },
            &["far", "near"],
        ),
        case(
            "an evacuation that the entry has not heard of",
            |world| operator(world, Scope::Restored, vec![configuration(2), evacuated()]),
            &["near"],
        ),
        Case {
            revision: 4,
            ..case(
                "a newer configuration",
                |world| operator(world, Scope::Restored, vec![configuration(4)]),
                &["far", "near"],
            )
        },
        case(
            "endpoints that the copy lacks",
            |world| endpoints(world, Scope::Restored, vec![seen("near", "north", 1)]),
            &["far", "near"],
        ),
        case(
            "an endpoint that is not written again",
            |world| {
                endpoints(world, Scope::Restored, vec![seen("near", "north", 1)]);
                endpoints(world, Scope::Complete, vec![seen("near", "north", 1)]);
            },
            &["near"],
        ),
        case(
            "an endpoint that has left since the copy was made",
            |world| {
                world.endpoints(true, vec![seen("near", "north", 5)]);
                let copy = vec![seen("far", "south", 1), seen("near", "north", 1)];
                endpoints(world, Scope::Restored, copy);
            },
            &["near"],
        ),
        case(
            "an endpoint that drains, and did not in the copy",
            |world| {
                let mut value = entry("writer", "v1", 6);
                value["State"] = "draining".into();
                let drains = EndpointChange::Seen(record("far", &value));
                world.endpoints(false, vec![drains]);
                let copy = vec![seen("far", "south", 5), seen("near", "north", 5)];
                endpoints(world, Scope::Complete, copy);
            },
            &["near"],
        ),
    ];
    for case in cases {
        let mut world = world();
        (case.act)(&mut world);
        assert_eq!(world.usable("writer"), case.usable, "{}", case.name);
        let deployment = world.snapshot.deployment.as_ref().unwrap();
        assert_eq!(deployment.revision.0, case.revision, "{}", case.name);
    }
}

/// Guards against entries that believe to be on record what they wrote in the time that the
/// copy lacks, and against a write on the condition of an end of before.
#[test]
fn what_entries_wrote_is_written_again() {
    struct Case {
        name: &'static str,
        /// Before the store comes back.
        before: fn(&mut TestWorld),
        /// Reports in the copy.
        copy: fn() -> Vec<RolloutReport>,
        is_written: fn(&Effect) -> bool,
    }
    let cases = [
        Case {
            name: "the end of a rollout",
            before: |world| {
                start_rollout(world);
                world.reports(false, vec![report(Stage::RolledBack)], 9);
            },
            copy: || vec![report(Stage::Probing)],
            is_written: |effect| *effect == Effect::Report(report(Stage::RolledBack), END),
        },
        Case {
            name: "the first stage of a rollout",
            before: |world| {
                start_rollout(world);
                world.reports(false, vec![report(Stage::Probing)], 9);
            },
            copy: Vec::new,
            is_written: |effect| *effect == Effect::Report(report(Stage::Probing), END),
        },
        Case {
            name: "crashes under a request",
            before: |world| {
                for endpoint in ["a", "b"] {
                    world.tick(vec![Event::Crashed {
                        subject: Subject::Request,
                        fingerprint: Fingerprint(1),
                        endpoint: endpoint.parse().unwrap(),
                        stage: VisitStage::Ongoing,
                    }]);
                }
            },
            copy: Vec::new,
            is_written: |effect| {
                let endpoints = ["a", "b"].map(|id| id.parse::<EndpointId>().unwrap());
                let report = CrashReport {
                    fingerprint: Fingerprint(1),
                    endpoints: endpoints.into(),
                };
                *effect == Effect::PublishCrashes(vec![report])
            },
        },
        Case {
            name: "the limit of an endpoint",
            before: |world| {
                let view = &world.snapshot.services[&"writer".parse().unwrap()];
                view.endpoints[0].live.name_limit(Some(Rate::clamped(2.0)));
                let id = view.endpoints[0].record.id.clone();
                world.tick(vec![Event::LimitNamed(id)]);
                world.advance(3_000);
            },
            copy: Vec::new,
            is_written: |effect| {
                matches!(effect, Effect::PublishLimit(report)
                    if report.limit.is_some_and(|limit| limit.rate == Rate::clamped(2.0)))
            },
        },
    ];
    for case in cases {
        let mut world = world();
        (case.before)(&mut world);
        world.effects.clear();
        reports(&mut world, (case.copy)());
        world.advance(4_000);
        let is_written = world.effects.iter().any(case.is_written);
        assert!(is_written, "{}: {:?}", case.name, world.effects);
        let writes_old = |effect: &Effect| matches!(effect, Effect::Report(_, at) if *at != END);
        assert!(!world.effects.iter().any(writes_old), "{}", case.name);
    }
}

fn start_rollout(world: &mut TestWorld) {
    world.writers(&[("a", "v1"), ("b", "v2")]);
    let order = operator_change("rollout/writer", Some(&rollout()));
    world.operator(false, vec![order]);
}

/// Guards against a version that is used again under an order that was over, and against an
/// order that begins anew.
#[test]
fn orders_of_the_copy_do_not_begin_again() {
    let mut world = TestWorld::new();
    start_rollout(&mut world);
    world.reports(false, vec![report(Stage::RolledBack)], 9);
    world.operator(false, vec![operator_change("rollout/writer", None)]);
    assert_eq!(world.usable("writer"), ["a"]);
    let copy = vec![
        configuration(2),
        operator_change("rollout/writer", Some(&rollout())),
    ];
    operator(&mut world, Scope::Restored, copy);
    assert_eq!(world.usable("writer"), ["a"]);
}

/// Guards against what is known ending as a listing has not reached its record.
#[test]
fn a_partial_listing_ends_nothing() {
    struct Case {
        name: &'static str,
        act: fn(&mut TestWorld),
        usable: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "an evacuation",
            act: |world| {
                world.operator(false, vec![evacuated()]);
                operator(world, Scope::Partial, vec![configuration(3)]);
            },
            usable: &["near"],
        },
        Case {
            name: "an endpoint",
            act: |world| endpoints(world, Scope::Partial, vec![seen("near", "north", 6)]),
            usable: &["far", "near"],
        },
        Case {
            name: "an endpoint that is new",
            act: |world| endpoints(world, Scope::Partial, vec![seen("next", "north", 1)]),
            usable: &["far", "near", "next"],
        },
        Case {
            name: "the end of a rollout",
            act: |world| {
                start_rollout(world);
                world.reports(false, vec![report(Stage::RolledBack)], 9);
                let listing = listing(world, Scope::Partial, Vec::new());
                world.tick(vec![Event::Reports(listing)]);
            },
            usable: &["a", "b"],
        },
    ];
    for case in cases {
        let mut world = world();
        (case.act)(&mut world);
        world.effects.clear();
        world.advance(4_000);
        assert_eq!(world.usable("writer"), case.usable, "{}", case.name);
        let is_report = |effect: &&Effect| matches!(effect, Effect::Report(..));
        assert_eq!(world.effects.iter().find(is_report), None, "{}", case.name);
    }
}
