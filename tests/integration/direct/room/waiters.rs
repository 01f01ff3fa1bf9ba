//! Requests that wait for a place, with real processes.

use std::thread;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::Value;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::direct::world::config;
use crate::testing::{http, raw, wait};

/// Pause of the only endpoint, in seconds, within the latency objective.
const PAUSE: &str = "4";
const OBJECTIVE_MS: u64 = 8_000;

fn patient_config() -> Value {
    let mut config = config(1);
    for route in config["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = 10_000.into();
        route["TargetLatencyMs"] = OBJECTIVE_MS.into();
    }
    config
}

/// Starts an entry whose only endpoint has turned request `id-0` away and pauses.
fn paused_site() -> (Site, Endpoint) {
    let script = [Behaviour::Pause(PAUSE)];
    let desk = Endpoint::spawn("a", &script, Behaviour::Answer(200, "good"));
    let site = Site::with_config(&[("desk", &desk)], &patient_config());
    let refused = hold(&site, "id-0");
    assert_eq!(refused.status, 503);
    // The request itself cannot go there again, but others can.
    let after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 1.0, "return after {after} s");
    (site, desk)
}

fn hold(site: &Site, id: &str) -> http::Answer {
    let headers = [("key", "key-red"), ("deadline-ms", "10000")];
    let host = [("host", "example.test"), ("attempt-id", id)];
    let headers: Vec<_> = host.into_iter().chain(headers).collect();
    http::send(site.callers, &Method::POST, "/hold/a", &headers, b"body").unwrap()
}

fn ids(endpoint: &Endpoint) -> Vec<String> {
    let received = endpoint.received();
    let id = |received: &crate::direct::endpoint::Received| {
        received.header("attempt-id").unwrap_or_default().to_owned()
    };
    received.iter().map(id).collect()
}

/// Guards against a request that is sent after its caller has left, against a waiting one
/// that a planned stop ends without an answer, and against one that runs after it was
/// refused.
#[test]
fn a_waiting_request_is_answered_or_never_sent() {
    #[derive(PartialEq)]
    enum Event {
        None,
        CallerLeaves,
        PlannedStop,
    }
    struct Case {
        name: &'static str,
        event: Event,
        /// Ids that reach the endpoint, beside that of the request which it refused.
        sent: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "the pause ends",
            event: Event::None,
            sent: &["id-1", "id-2"],
        },
        Case {
            name: "the caller leaves",
            event: Event::CallerLeaves,
            sent: &["id-1"],
        },
        Case {
            name: "a planned stop begins",
            event: Event::PlannedStop,
            sent: &["id-1", "id-2"],
        },
    ];
    for case in cases {
        let (mut site, desk) = paused_site();
        let head = "POST /hold/a HTTP/1.1\r\nHost: example.test\r\nAttempt-Id: id-2\r\n\
                    Key: key-red\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
        let second = raw::open(site.callers, head.as_bytes());
        thread::scope(|scope| {
            let first = scope.spawn(|| hold(&site, "id-1"));
            thread::sleep(Duration::from_millis(300));
            if case.event == Event::PlannedStop {
                site.process.terminate();
            }
            if case.event == Event::CallerLeaves {
                drop(second);
                wait::until("the entry notices", || {
                    let lines = site.process.lines_with("caller_left");
                    lines.iter().any(|line| line.contains("wait=begun"))
                });
            } else {
                let answer = raw::read_to_close(second);
                assert!(answer.contains("200"), "{}: {answer}", case.name);
            }
            let first = first.join().unwrap();
            assert_eq!(first.status, 200, "{}", case.name);
        });
        wait::until("the log tells of the wait", || {
            let lines = site.process.lines_with("wait_end=place");
            lines.len() == case.sent.len()
        });
        let mut sent = ids(&desk);
        sent.sort();
        assert_eq!(sent[0], "id-0", "{}", case.name);
        assert_eq!(sent[1..], *case.sent, "{}", case.name);
        if case.event == Event::PlannedStop {
            assert!(site.process.wait_exit().success(), "{}", case.name);
        }
    }
}

/// Guards against callers that are told to return while no endpoint is there, nor expected
/// in their time: the first of them may be told so, but not all.
#[test]
fn callers_without_an_endpoint_are_not_asked_to_return_in_vain() {
    /// Deadline of the requests in seconds.
    const DEADLINE: f64 = 2.0;
    let desk = Endpoint::spawn("a", &[], Behaviour::Leaves("bye"));
    let site = Site::spawn(&[("desk", &desk)]);
    let call = |id: &str| site.call(&Method::POST, "/hold/a", id).unwrap();
    assert_eq!(call("id-0").status, 200);
    let after = |id: &str| -> f64 {
        let refused = call(id);
        assert_eq!(refused.status, 503);
        refused.header("retry-after").unwrap().parse().unwrap()
    };
    assert!(after("id-1") < DEADLINE / 3.0);
    thread::sleep(Duration::from_secs_f64(DEADLINE / 2.0));
    let asked = Instant::now();
    let told = after("id-2");
    // The time is told as of the decision, which a busy machine delays.
    let back = told + asked.elapsed().as_secs_f64();
    assert!(back > DEADLINE, "told {told} s, back after {back} s");
    assert_eq!(ids(&desk), ["id-0"]);
}
