//! Starts and planned stops.

use std::thread;
use std::time::Duration;

use hyper::Method;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::testing::wait;

/// Guards against a planned stop that cuts a request, and against one that
/// still asks for callers.
#[test]
fn a_planned_stop_cuts_no_request() {
    let slow = Behaviour::Slow(Duration::from_millis(1_200), "late");
    let desk = Endpoint::spawn("desk-1", &[], slow);
    let mut site = Site::spawn(&[("desk", &desk)]);
    thread::scope(|scope| {
        let early = scope.spawn(|| site.call(&Method::POST, "/hold/a", "id-1").unwrap());
        wait::until("the request runs", || desk.received().len() == 1);
        site.process.terminate();
        wait::until("the entry takes itself out of rotation", || {
            !site.is_ready()
        });
        // Callers that have not heard of it yet are still served.
        let late = site.call(&Method::POST, "/hold/a", "id-2").unwrap();
        assert_eq!((late.status, late.text().as_str()), (200, "late"));
        assert_eq!(late.header("connection"), Some("close"));
        let early = early.join().unwrap();
        assert_eq!((early.status, early.text().as_str()), (200, "late"));
    });
    assert!(site.process.wait_exit().success());
}

/// Guards against refusals of requests that arrive in the first moments of a
/// process, before it has read its configuration.
#[test]
fn requests_wait_for_the_first_configuration() {
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
    let mut site = Site::spawn(&[("desk", &desk)]);
    for i in 0..5 {
        site.process.restart();
        let mut first = None;
        wait::until("the process answers", || {
            first = site.call(&Method::GET, "/look/a", &format!("id-{i}")).ok();
            first.is_some()
        });
        assert_eq!(first.unwrap().status, 200, "start {i}");
    }
}
