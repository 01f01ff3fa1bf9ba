//! A store that comes back from an older copy, while entries are cut off from it or not.

use std::thread;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use quetzalworks::platform::{endpoint_record, operator};
use quetzalworks::standin::{LogCommand, Outage};
use serde_json::json;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::direct::world::{config, entry};
use crate::testing::wait;

/// What the operator writes.
#[derive(Clone, Copy)]
enum Write {
    /// A configuration with this version, and a route that only this one has.
    Config(u64),
    /// Takes the failure domain `south` out of service.
    Evacuate,
    /// Puts it back into service.
    Return,
}

impl Write {
    fn apply(self, site: &Site) {
        match self {
            Self::Config(version) => {
                let mut config = config(version);
                let route = json!({
                    "Name": format!("r-{version}"), "Host": "example.test",
                    "PathPrefix": format!("/v{version}/"), "Kind": "idempotent",
                    "TimeoutMs": 2000, "Service": "desk", "AllowAnonymous": true,
                });
                config["Routes"].as_array_mut().unwrap().push(route);
                site.put_config(&config);
            }
            Self::Evacuate => site
                .store
                .put(operator::TOPIC, "evacuate/south", Some(b"{}")),
            Self::Return => site.store.put(operator::TOPIC, "evacuate/south", None),
        }
    }
}

struct Case {
    name: &'static str,
    /// Written before the copy is made, after it, and before the entry reaches the store again.
    before: &'static [Write],
    lost: &'static [Write],
    again: &'static [Write],
    /// Written a second after the entry reaches the store again.
    late: &'static [Write],
    /// Configurations that must be in force from that on, for all that follows.
    kept: u64,
    /// Configuration that must be in force in the end.
    version: u64,
    /// Whether `south` must be out of service from the return of the store on.
    is_south_out: bool,
}

const CASE: Case = Case {
    name: "",
    before: &[],
    lost: &[],
    again: &[],
    late: &[],
    kept: 4,
    version: 5,
    is_south_out: false,
};

/// Guards against records that are never seen as their offsets were given out before, against
/// an older configuration that replaces a newer one, and against orders that end as the copy
/// lacks them.
#[test]
fn what_the_operator_writes_is_in_force_after_a_return_from_a_copy() {
    use Write::{Config, Evacuate, Return};
    let cases = [
        Case {
            name: "fewer records than were lost",
            lost: &[Config(3), Config(4)],
            again: &[Config(4)],
            late: &[Config(5)],
            ..CASE
        },
        Case {
            name: "as many records as were lost",
            lost: &[Config(3), Config(4)],
            again: &[Config(4), Config(5)],
            ..CASE
        },
        Case {
            name: "more records than were lost",
            lost: &[Config(3), Config(4)],
            again: &[Evacuate, Config(4), Config(5)],
            is_south_out: true,
            ..CASE
        },
        Case {
            name: "nothing is written again at first",
            lost: &[Config(3), Evacuate, Config(4)],
            late: &[Evacuate, Config(4), Config(5)],
            is_south_out: true,
            ..CASE
        },
        Case {
            name: "an order that was withdrawn comes back",
            before: &[Evacuate],
            lost: &[Return, Config(4)],
            again: &[Config(4)],
            late: &[Return, Config(5)],
            ..CASE
        },
    ];
    for case in &cases {
        check(case);
    }
}

fn check(case: &Case) {
    // Slow enough that the endpoint in the other failure domain is preferred.
    let near = Endpoint::spawn("near", &[], Behaviour::Echo(Duration::from_millis(100)));
    let far = Endpoint::spawn("far", &[], Behaviour::Echo(Duration::ZERO));
    let site = Site::spawn(&[("desk", &near)]);
    let mut value = entry("desk", "v1", 1);
    value["Zone"] = json!("south");
    value["Address"] = json!(far.addr);
    let value = value.to_string();
    site.store
        .put(endpoint_record::TOPIC, far.id, Some(value.as_bytes()));
    for write in case.before {
        write.apply(&site);
    }
    Write::Config(2).apply(&site);
    wait::until("the first route is there", || is_in_force(&site, 2));
    let copy = site.store.copy();
    for write in case.lost {
        write.apply(&site);
    }
    wait::until("what will be lost is in force", || {
        is_in_force(&site, case.kept)
    });
    site.store.control(LogCommand::Outage(Outage::Refusing));
    thread::sleep(Duration::from_secs(1));
    site.store.restore(&copy);
    for write in case.again {
        write.apply(&site);
    }
    let back = Instant::now();
    site.store.control(LogCommand::Outage(Outage::Up));
    while back.elapsed() < Duration::from_secs(1) {
        let newest = is_in_force(&site, case.kept) || is_in_force(&site, case.version);
        assert!(newest, "{}: an older configuration", case.name);
    }
    for write in case.late {
        write.apply(&site);
    }
    wait::until(case.name, || is_in_force(&site, case.version));
    // Past the time in which all is written again.
    while back.elapsed() < Duration::from_secs(4) {
        assert!(is_in_force(&site, case.version), "{}", case.name);
    }
    let settled = if case
        .lost
        .iter()
        .any(|write| matches!(write, Write::Evacuate))
    {
        back
    } else {
        back + Duration::from_secs(2)
    };
    let far = far.received();
    let late = far.iter().filter(|received| received.at >= settled).count();
    assert_eq!(late == 0, case.is_south_out, "{}: {late}", case.name);
}

/// Returns whether the route of this configuration is served.
fn is_in_force(site: &Site, version: u64) -> bool {
    let id = format!("a-{:016x}", fastrand::u64(..));
    let path = format!("/v{version}/x");
    let answer = site.call_with(&Method::GET, &path, &id, &[]);
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}
