//! Endpoints that send bytes without end, or bytes that are no progress.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hyper::Method;

use crate::direct::endpoint::{Behaviour, EVENTS, Endpoint};
use crate::direct::site::Site;
use crate::direct::world::config;
use crate::testing::wait;

/// Maximum number of bytes that an endpoint can send before its connection is closed: the
/// limit on an answer of 8 MB, and what the sockets buffer.
const MAX_SENT: usize = 16 * 1_024 * 1_024;

/// Requests at once; with the settings of the test, an entry accepts 64 connections.
const REQUESTS: usize = 50;

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: a\r\n\
                           Confidence: 90\r\nContent-Type: text/event-stream\r\n\r\n";

/// Guards against memory that grows, and a caller that waits for its deadline, while an
/// endpoint sends bytes without end.
#[test]
fn endless_bytes_end_with_the_attempt() {
    use Behaviour::Endless;
    struct Case {
        name: &'static str,
        path: &'static str,
        endless: Behaviour,
        good: Behaviour,
        /// Maximum number of bytes that the router reads.
        max_sent: usize,
    }
    let stream = |name, endless, max_sent| Case {
        name,
        path: "/chat/x",
        endless,
        good: Behaviour::Events("90"),
        max_sent,
    };
    let plain = |name, endless, max_sent| Case {
        name,
        path: "/look/x",
        endless,
        good: Behaviour::Answer(200, "good"),
        max_sent,
    };
    let small = 6 * 1_024 * 1_024;
    let cases = [
        stream("no status line", Endless("", "a"), small),
        stream(
            "a header value",
            Endless("HTTP/1.1 200 OK\r\nx: ", "a"),
            small,
        ),
        stream(
            "header lines",
            Endless("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
            small,
        ),
        stream(
            "interim responses",
            Endless("", "HTTP/1.1 102 Processing\r\n\r\n"),
            usize::MAX,
        ),
        stream("an event without its end", Endless(STREAM_HEAD, "a"), small),
        stream(
            "lines of one event",
            Endless(STREAM_HEAD, "data: a\n"),
            small,
        ),
        plain(
            "a body without length",
            Endless(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: a\r\n\r\n",
                "a",
            ),
            MAX_SENT,
        ),
        plain(
            "the body of a refusal",
            Endless(
                "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\r\n",
                "a",
            ),
            small,
        ),
    ];
    for case in cases {
        let script = Arc::new(Mutex::new(vec![case.endless]));
        let endpoints = ["a", "b"].map(|id| Endpoint::shared(id, &script, case.good.clone()));
        let service = if case.path == "/chat/x" {
            "writer"
        } else {
            "desk"
        };
        let site = Site::spawn(&endpoints.each_ref().map(|endpoint| (service, endpoint)));
        let sent = Instant::now();
        let answer = if service == "writer" {
            site.chat("id-1").unwrap()
        } else {
            site.call(&Method::GET, case.path, "id-1").unwrap()
        };
        assert_eq!(answer.status, 200, "{}: {}", case.name, answer.text());
        // The deadline is 4 s.
        assert!(sent.elapsed() < Duration::from_secs(3), "{}", case.name);
        let abandoned = || {
            endpoints
                .iter()
                .map(Endpoint::abandoned_answers)
                .sum::<usize>()
        };
        wait::until("the connection is closed", || abandoned() == 1);
        let bytes: usize = endpoints.iter().map(Endpoint::endless_bytes).sum();
        assert!(bytes <= case.max_sent, "{}: {bytes} bytes", case.name);
    }
}

/// Guards against a stalled stream that is kept because bytes arrive which are no event.
#[test]
fn bytes_that_are_no_event_do_not_prolong_a_stream() {
    struct Case {
        name: &'static str,
        /// Text that is sent every 100 ms; the permitted gap is 500 ms.
        text: &'static str,
    }
    let cases = [
        Case {
            name: "a byte of the next event",
            text: "x",
        },
        Case {
            name: "comments",
            text: ": still here\n\n",
        },
        Case {
            name: "blank lines",
            text: "\n\n",
        },
    ];
    for case in cases {
        let script = Arc::new(Mutex::new(vec![Behaviour::Trickle(2, case.text)]));
        let engines = ["a", "b"].map(|id| Endpoint::shared(id, &script, Behaviour::Events("90")));
        let site = Site::spawn(&engines.each_ref().map(|engine| ("writer", engine)));
        let sent = Instant::now();
        let answer = site.chat("id-1").unwrap();
        let text = answer.text();
        let ids: Vec<_> = text
            .lines()
            .filter(|line| line.starts_with("id: "))
            .collect();
        let expected: Vec<_> = (1..=EVENTS).map(|id| format!("id: {id}")).collect();
        assert_eq!(ids, expected, "{}", case.name);
        assert!(sent.elapsed() < Duration::from_secs(3), "{}", case.name);
    }
}

/// Guards against running out of memory while many requests at once get endless answers, or
/// come with the largest body, and against other requests that end with them.
#[test]
fn bodies_of_many_requests_keep_to_the_memory_of_the_process() {
    const ENDLESS_BODY: &str =
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: a\r\nContent-Length: 8000000\r\n\r\n";
    struct Case {
        name: &'static str,
        path: &'static str,
        body: usize,
        endpoint: Behaviour,
    }
    let cases = [
        Case {
            name: "answers that never end",
            path: "/hold/x",
            body: 10,
            endpoint: Behaviour::EndlessSlow(ENDLESS_BODY, 7_900_000),
        },
        Case {
            name: "streams without the end of an event",
            path: "/chat/x",
            body: 10,
            endpoint: Behaviour::EndlessSlow(STREAM_HEAD, 1_000_000),
        },
        Case {
            name: "requests of the permitted size",
            path: "/hold/x",
            body: 4 * 1_024 * 1_024,
            endpoint: Behaviour::Slow(Duration::from_millis(1_500), "good"),
        },
    ];
    for case in cases {
        let faulty = Endpoint::spawn("faulty", &[], case.endpoint);
        let sound = Endpoint::spawn("sound", &[], Behaviour::Answer(200, "good"));
        let service = if case.path == "/chat/x" {
            "writer"
        } else {
            "desk"
        };
        let mut config = config(1);
        config["Limits"]["MaxBodyBytes"] = (4 * 1_024 * 1_024).into();
        let services = config["Services"].as_array_mut().unwrap();
        services.push(serde_json::json!({ "Name": "other", "MaxConnections": 64 }));
        config["Routes"][2]["Service"] = "other".into();
        config["Services"][1]["MaxConnections"] = 2_000.into();
        config["Services"][0]["MaxConnections"] = 2_000.into();
        let site = Site::with_config(&[(service, &faulty), ("other", &sound)], &config);
        let is_over = AtomicBool::new(false);
        let body = vec![b'x'; case.body];
        let (peak, others, answers) = thread::scope(|scope| {
            let callers: Vec<_> = (0..REQUESTS)
                .map(|i| {
                    let (site, body, path) = (&site, &body, case.path);
                    scope.spawn(move || {
                        let id = format!("id-{i}");
                        // Failures and refusals are expected.
                        let answer = site.call_with_body(&Method::POST, path, &id, body);
                        answer.map(|answer| answer.status)
                    })
                })
                .collect();
            let peak = scope.spawn(|| {
                let mut peak = 0;
                while !is_over.load(Ordering::Acquire) {
                    peak = peak.max(site.process.resident_bytes());
                    thread::sleep(Duration::from_millis(10));
                }
                peak
            });
            let mut others = Vec::new();
            for i in 0..20 {
                let answer = site.call(&Method::GET, "/look/x", &format!("other-{i}"));
                others.push(answer.map(|answer| answer.status));
                thread::sleep(Duration::from_millis(50));
            }
            let answers: Vec<_> = callers.into_iter().map(|c| c.join().unwrap()).collect();
            is_over.store(true, Ordering::Release);
            (peak.join().unwrap(), others, answers)
        });
        // The default of the settings.
        assert!(peak < 256_000_000, "{}: {peak} bytes", case.name);
        assert!(
            answers.iter().all(Result::is_ok) || case.path == "/chat/x",
            "{}: {answers:?}",
            case.name
        );
        assert!(
            others.iter().all(|status| *status == Ok(200)),
            "{}: {others:?}",
            case.name
        );
    }
}
