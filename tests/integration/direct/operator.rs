//! Application of operator records to the control state.

use quetzalworks::direct::OperatorChange;
use serde_json::{Value, json};

use crate::direct::world::{TestWorld, config, operator_change};

/// Guards against a configuration that goes back to an older revision.
#[test]
fn the_revision_never_decreases() {
    struct Case {
        name: &'static str,
        versions: &'static [u64],
        in_force: u64,
    }
    let cases = [
        Case {
            name: "newer revision",
            versions: &[4],
            in_force: 4,
        },
        Case {
            name: "older after newer",
            versions: &[4, 2],
            in_force: 4,
        },
        Case {
            name: "gaps between revisions",
            versions: &[2, 7, 31],
            in_force: 31,
        },
    ];
    for case in cases {
        let mut world = TestWorld::new();
        for version in case.versions {
            let change = operator_change("config", Some(&config(*version)));
            world.operator(false, vec![change]);
        }
        let revision = world.snapshot.deployment.as_ref().unwrap().revision;
        assert_eq!(revision.0, case.in_force, "{}", case.name);
    }
}

/// Guards against treating an outdated configuration as current.
#[test]
fn a_read_confirms_the_configuration_as_of_its_start() {
    let age = |world: &TestWorld| {
        let age = world.snapshot.freshness.age(world.now);
        age.unwrap().as_millis()
    };
    let mut world = TestWorld::new();
    world.advance(700);
    assert_eq!(age(&world), 700);
    world.operator(false, vec![]);
    assert_eq!(age(&world), 0);
}

/// Guards against a key that stays in use, as the revision that withdraws it could not be
/// decoded.
#[test]
fn a_configuration_that_cannot_be_decoded_is_not_confirmed() {
    struct Case {
        name: &'static str,
        /// Records of the configuration, in order; `None` for one that cannot be decoded.
        records: &'static [Option<u64>],
        in_force: u64,
        /// Age once a later read has reached the end of the topic.
        age: u128,
    }
    let case = |name, records, in_force, age| Case {
        name,
        records,
        in_force,
        age,
    };
    let cases = [
        case("a revision", &[Some(2)], 2, 0),
        case("none that can be decoded", &[None], 1, 1_500),
        case("one that can be, then another", &[Some(2), None], 2, 1_000),
        case("another, then one that can be", &[None, Some(3)], 3, 0),
    ];
    for case in cases {
        let mut world = TestWorld::new();
        world.advance(1_000);
        for version in case.records {
            let value = version.map_or(json!({ "Version": 9 }), config);
            world.operator(false, vec![operator_change("config", Some(&value))]);
            world.advance(500);
        }
        world.operator(false, vec![]);
        let revision = world.snapshot.deployment.as_ref().unwrap().revision;
        assert_eq!(revision.0, case.in_force, "{}", case.name);
        let age = world.snapshot.freshness.age(world.now).unwrap().as_millis();
        assert_eq!(age, case.age, "{}", case.name);
    }
}

/// Guards against requests to a failure domain that is out of service, and
/// against full load on its endpoints when it is back in service.
#[test]
fn a_domain_out_of_service_gets_nothing_and_returns_cold() {
    struct Case {
        name: &'static str,
        changes: Vec<(bool, Vec<OperatorChange>)>,
        usable: &'static [&'static str],
        is_cold: bool,
    }
    let out = |value: Option<&Value>| operator_change("evacuate/north", value);
    let cases = [
        Case {
            name: "out of service",
            changes: vec![(false, vec![out(Some(&json!({})))])],
            usable: &[],
            is_cold: false,
        },
        Case {
            name: "back in service",
            changes: vec![
                (false, vec![out(Some(&json!({})))]),
                (false, vec![out(None)]),
            ],
            usable: &["a"],
            is_cold: true,
        },
        Case {
            name: "back in service by a listing without the order",
            changes: vec![(false, vec![out(Some(&json!({})))]), (true, vec![])],
            usable: &["a"],
            is_cold: true,
        },
        Case {
            name: "another domain out of service",
            changes: vec![(
                false,
                vec![operator_change("evacuate/south", Some(&json!({})))],
            )],
            usable: &["a"],
            is_cold: false,
        },
    ];
    for case in cases {
        let mut world = TestWorld::new();
        world.writers(&[("a", "v1")]);
        world.advance(5_000);
        for (whole, changes) in case.changes {
            world.operator(whole, changes);
        }
        assert_eq!(world.usable("writer"), case.usable, "{}", case.name);
        let writer = &world.snapshot.services[&"writer".parse().unwrap()];
        let cold = writer
            .endpoints
            .iter()
            .any(|endpoint| endpoint.cold_until > world.now);
        assert_eq!(cold, case.is_cold, "{}", case.name);
    }
}
