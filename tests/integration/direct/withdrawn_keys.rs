//! Keys that were withdrawn while the entry could not read the store.

use std::thread;
use std::time::{Duration, Instant};

use hyper::Method;
use quetzalworks::standin::{LogCommand, Outage};
use quetzalworks::units::Millis;
use serde_json::{Value, json};

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::direct::world::config;

/// Time after its withdrawal for which a key may be accepted, as in the settings.
const REVOKE_LIMIT: Duration = Duration::from_secs(5);
/// Time for which the key is tried after the store has returned.
const TRIAL: Duration = Duration::from_millis(2_200);
/// Idle routes, with which a configuration has about 120 kB.
const IDLE_ROUTES: usize = 500;

/// How the store returns.
#[derive(Clone, Copy, PartialEq)]
enum Return {
    /// With all records: more than one read holds.
    Whole,
    /// From a copy made before the withdrawal.
    Copy,
    /// The same, and the entry starts after that.
    CopyBeforeStart,
}

/// Returns a configuration with these keys.
fn keyed(version: u64, keys: &[&str]) -> Value {
    let mut config = config(version);
    let idle = (0..IDLE_ROUTES).map(|i| {
        json!({
            "Name": format!("r-idle-{i}"), "Host": "example.test", "PathPrefix": format!("/idle-{i}/"),
            "Kind": "idempotent", "TimeoutMs": 2000, "TargetLatencyMs": 150, "Priority": 2,
            "Service": "desk", "MaxAttempts": 2, "AllowAnonymous": false, "Sticky": false,
        })
    });
    config["Routes"].as_array_mut().unwrap().extend(idle);
    config["Tenants"][0]["ApiKeys"] = keys.into();
    config
}

fn check(name: &str, how: Return) {
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Echo(Duration::ZERO));
    let site = Site::with_config(&[("desk", &desk)], &keyed(1, &["key-red", "key-blue"]));
    let copy = site.store.copy();
    site.store.control(LogCommand::Outage(Outage::Refusing));
    for version in 2..12 {
        site.put_config(&keyed(version, &["key-red", "key-blue"]));
    }
    site.put_config(&keyed(12, &["key-blue"]));
    thread::sleep(REVOKE_LIMIT + Duration::from_millis(200));
    site.store.control(LogCommand::AnswerDelay(Millis(200)));
    if how != Return::Whole {
        // Twice, as the stand-in counts its eras from 0 and the platform from 1.
        site.store.restore(&copy);
        site.store.restore(&copy);
    }
    site.store.control(LogCommand::Outage(Outage::Up));
    let other = (how == Return::CopyBeforeStart).then(|| site.start_entry("edge-north-2"));
    let callers = other.as_ref().map_or(site.callers, |entry| entry.callers);
    let back = Instant::now();
    let mut statuses = Vec::new();
    while back.elapsed() < TRIAL {
        let headers = [("key", "key-red")];
        let answer = Site::call_at(callers, &Method::GET, "/look/a", "id", &headers);
        statuses.extend(answer.map(|answer| answer.status));
    }
    assert!(!statuses.contains(&200), "{name}: {statuses:?}");
    assert!(desk.received().is_empty(), "{name}");
}

/// Guards against withdrawn keys that are accepted again, as a read that lacks their
/// withdrawal counts as current.
#[test]
fn a_withdrawn_key_stays_refused_after_the_store_returns() {
    let cases = [
        ("more records than one read holds", Return::Whole),
        ("a copy from before the withdrawal", Return::Copy),
        ("a copy, and an entry that starts", Return::CopyBeforeStart),
    ];
    thread::scope(|scope| {
        for (name, how) in cases {
            scope.spawn(move || check(name, how));
        }
    });
}
