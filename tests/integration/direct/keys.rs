//! Access by key and route, and the age of the configuration.

use std::thread;
use std::time::Duration;

use hyper::Method;
use quetzalworks::standin::{LogCommand, Outage};
use serde_json::json;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::direct::world::config;
use crate::testing::wait;

/// Guards against callers that are admitted without permission or refused despite it.
#[test]
fn keys_and_routes_control_access() {
    struct Case {
        name: &'static str,
        path: &'static str,
        headers: &'static [(&'static str, &'static str)],
        status: u16,
        teams: &'static [Option<&'static str>],
    }
    let cases = [
        Case {
            name: "known key",
            path: "/look/a",
            headers: &[("key", "key-red")],
            status: 200,
            teams: &[Some("red")],
        },
        Case {
            name: "missing key",
            path: "/look/a",
            headers: &[],
            status: 401,
            teams: &[],
        },
        Case {
            name: "unknown key",
            path: "/look/a",
            headers: &[("key", "no")],
            status: 401,
            teams: &[],
        },
        Case {
            name: "anonymous route",
            path: "/open/a",
            headers: &[],
            status: 200,
            teams: &[None],
        },
        Case {
            name: "path without a route",
            path: "/none/a",
            headers: &[("key", "key-red")],
            status: 404,
            teams: &[],
        },
        Case {
            name: "part of a route's prefix",
            path: "/loo",
            headers: &[("key", "key-red")],
            status: 404,
            teams: &[],
        },
    ];
    for case in cases {
        let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
        let site = Site::spawn(&[("desk", &desk)]);
        let answer = site
            .call_with(&Method::GET, case.path, "id-1", case.headers)
            .unwrap();
        assert_eq!(answer.status, case.status, "{}", case.name);
        let received = desk.received();
        let teams: Vec<_> = received.iter().map(|req| req.header("tenant")).collect();
        assert_eq!(teams, case.teams, "{}", case.name);
    }
}

/// Guards against a withdrawn key that is accepted because this entry cannot reach the
/// store, and against refusals that outlast the outage.
#[test]
fn keys_are_refused_while_the_configuration_may_be_too_old() {
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
    let site = Site::spawn(&[("desk", &desk)]);
    site.store.control(LogCommand::Outage(Outage::Hanging));
    wait::until("the entry takes itself out of rotation", || {
        !site.is_ready()
    });
    assert_eq!(
        site.call(&Method::GET, "/look/a", "id-1").unwrap().status,
        200,
        "the configuration is not too old yet"
    );
    // The limit is 5 s from the start of the last read that was answered.
    thread::sleep(Duration::from_secs(5));
    let served = desk.received().len();
    let refused = site.call(&Method::GET, "/look/a", "id-2").unwrap();
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(
        desk.received().len(),
        served,
        "must not be executed, as the status promises"
    );
    assert_eq!(
        site.call_with(&Method::GET, "/open/a", "id-3", &[])
            .unwrap()
            .status,
        200
    );
    let unknown = site.call(&Method::GET, "/none/a", "id-4").unwrap();
    assert_eq!(
        unknown.status, 503,
        "a route may have been added in the meantime"
    );
    site.store.control(LogCommand::Outage(Outage::Up));
    wait::until("the entry is ready again", || site.is_ready());
    assert_eq!(
        site.call(&Method::GET, "/look/a", "id-5").unwrap().status,
        200
    );
}

/// Guards against a configuration change that does not take effect, also after the store
/// has dropped its history.
#[test]
fn configuration_changes_take_effect() {
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
    let site = Site::spawn(&[("desk", &desk)]);
    let mut changed = config(2);
    changed["Tenants"] = json!([{ "Name": "blue", "ApiKeys": ["key-blue"] }]);
    site.put_config(&changed);
    wait::until("the old key is refused", || {
        site.call(&Method::GET, "/look/a", "id-1").unwrap().status == 401
    });
    site.store.retain_from(
        quetzalworks::platform::operator::TOPIC,
        quetzalworks::ids::Offset(9),
    );
    site.put_config(&config(3));
    wait::until("the old key is accepted again", || {
        site.call(&Method::GET, "/look/a", "id-2").unwrap().status == 200
    });
}

/// Guards against input over the limits that is read or forwarded before it is refused.
#[test]
fn input_over_the_limits_is_refused() {
    struct Case {
        name: &'static str,
        request: String,
        status: &'static str,
    }
    let head = "POST /look/a HTTP/1.1\r\nhost: example.test\r\nattempt-id: 1\r\nkey: key-red\r\nconnection: close\r\n";
    let cases = [
        Case {
            name: "stated length over the limit",
            request: format!("{head}content-length: 100000000\r\n\r\n"),
            status: "HTTP/1.1 413",
        },
        Case {
            name: "head over the limit",
            request: format!("{head}x-long: {}\r\n\r\n", "x".repeat(6_000)),
            status: "HTTP/1.1 431",
        },
    ];
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
    let site = Site::spawn(&[("desk", &desk)]);
    for case in cases {
        let tcp = crate::testing::raw::open(site.callers, case.request.as_bytes());
        let answer = crate::testing::raw::read_to_close(tcp);
        assert!(answer.starts_with(case.status), "{}: {answer}", case.name);
    }
    assert!(desk.received().is_empty());
}
