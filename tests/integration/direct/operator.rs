//! What operators write.

use quetzalworks::direct::OperatorChange;
use serde_json::{Value, json};

use crate::direct::world::{Ticked, config, operator_change};

/// Guards against a configuration that goes back to an older revision.
#[test]
fn the_revision_never_falls() {
    struct Case {
        name: &'static str,
        versions: &'static [u64],
        in_force: u64,
    }
    let cases = [
        Case {
            name: "newer",
            versions: &[4],
            in_force: 4,
        },
        Case {
            name: "older after newer",
            versions: &[4, 2],
            in_force: 4,
        },
        Case {
            name: "uneven steps",
            versions: &[2, 7, 31],
            in_force: 31,
        },
    ];
    for case in cases {
        let mut ticked = Ticked::new();
        for version in case.versions {
            let change = operator_change("config", Some(&config(*version)));
            ticked.operator(false, vec![change]);
        }
        let revision = ticked.snapshot.deployment.as_ref().unwrap().revision;
        assert_eq!(revision.0, case.in_force, "{}", case.name);
    }
}

/// Guards against an outdated configuration that counts as current.
#[test]
fn a_read_proves_the_configuration_current_as_of_its_start() {
    let age = |ticked: &Ticked| {
        let age = ticked.snapshot.freshness.age(ticked.now);
        age.unwrap().as_millis()
    };
    let mut ticked = Ticked::new();
    ticked.pass(700);
    assert_eq!(age(&ticked), 700);
    ticked.operator(false, vec![]);
    assert_eq!(age(&ticked), 0);
}

/// Guards against work in a failure domain that is taken out, and against full
/// load on its endpoints when it is back.
#[test]
fn a_domain_that_is_out_gets_nothing_and_returns_cold() {
    struct Case {
        name: &'static str,
        changes: Vec<(bool, Vec<OperatorChange>)>,
        usable: &'static [&'static str],
        is_cold: bool,
    }
    let out = |value: Option<&Value>| operator_change("evacuate/north", value);
    let cases = [
        Case {
            name: "out",
            changes: vec![(false, vec![out(Some(&json!({})))])],
            usable: &[],
            is_cold: false,
        },
        Case {
            name: "back",
            changes: vec![
                (false, vec![out(Some(&json!({})))]),
                (false, vec![out(None)]),
            ],
            usable: &["a"],
            is_cold: true,
        },
        Case {
            name: "back by a listing that no longer has the order",
            changes: vec![(false, vec![out(Some(&json!({})))]), (true, vec![])],
            usable: &["a"],
            is_cold: true,
        },
        Case {
            name: "another domain",
            changes: vec![(
                false,
                vec![operator_change("evacuate/south", Some(&json!({})))],
            )],
            usable: &["a"],
            is_cold: false,
        },
    ];
    for case in cases {
        let mut ticked = Ticked::new();
        ticked.writers(&[("a", "v1")]);
        ticked.pass(5_000);
        for (whole, changes) in case.changes {
            ticked.operator(whole, changes);
        }
        assert_eq!(ticked.usable("writer"), case.usable, "{}", case.name);
        let writer = &ticked.snapshot.services[&"writer".parse().unwrap()];
        let cold = writer
            .endpoints
            .iter()
            .any(|endpoint| endpoint.cold_until > ticked.now);
        assert_eq!(cold, case.is_cold, "{}", case.name);
    }
}
