//! Streams of model engines: complete events, resumption, and the choice of model.

use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::direct::endpoint::{Behaviour, EVENTS, Endpoint};
use crate::direct::site::{Site, put_endpoint};
use crate::direct::world::config;
use crate::testing::{isolation, raw};

fn ids(text: &str) -> Vec<u64> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().unwrap()).collect()
}

/// Guards against missing, repeated and partial events, and against a stream that breaks
/// off although another endpoint could resume it.
#[test]
fn streams_are_complete_or_broken_off() {
    use Behaviour::{Answer, Close, Cut, Events, NotRun, Stall};
    struct Case {
        name: &'static str,
        script: Vec<Behaviour>,
        /// Whether the caller receives the complete stream.
        is_complete: bool,
        arrivals: usize,
    }
    let cases = [
        Case {
            name: "complete",
            script: vec![Events("90")],
            is_complete: true,
            arrivals: 1,
        },
        Case {
            name: "not executed at first",
            script: vec![NotRun, Events("90")],
            is_complete: true,
            arrivals: 2,
        },
        Case {
            name: "closed before the head",
            script: vec![Close, Events("90")],
            is_complete: true,
            arrivals: 2,
        },
        Case {
            name: "failure at first",
            script: vec![Answer(500, "bad"), Events("90")],
            is_complete: true,
            arrivals: 2,
        },
        Case {
            name: "broken off within the first event",
            script: vec![Cut(0), Events("90")],
            is_complete: true,
            arrivals: 2,
        },
        Case {
            name: "broken off within a later event",
            script: vec![Cut(3), Events("90")],
            is_complete: true,
            arrivals: 2,
        },
        Case {
            name: "stalled after an event",
            script: vec![Stall(2), Events("90")],
            is_complete: true,
            arrivals: 2,
        },
        Case {
            name: "stalled before an event",
            script: vec![Stall(0), Events("90")],
            is_complete: true,
            arrivals: 2,
        },
        Case {
            name: "broken off twice",
            script: vec![Cut(2), Cut(4), Events("90")],
            is_complete: true,
            arrivals: 3,
        },
        Case {
            name: "broken off three times: no further attempt is allowed",
            script: vec![Cut(1), Cut(2), Cut(3), Events("90")],
            is_complete: false,
            arrivals: 3,
        },
    ];
    for case in cases {
        let script: Vec<_> = case.script.into_iter().rev().collect();
        let script = std::sync::Arc::new(std::sync::Mutex::new(script));
        let engines =
            ["a", "b", "c", "d"].map(|id| Endpoint::shared(id, &script, Behaviour::NotRun));
        let site = Site::spawn(&engines.each_ref().map(|engine| ("writer", engine)));
        let answer = site.chat("id-1");
        let arrivals: usize = engines.iter().map(|engine| engine.received().len()).sum();
        assert_eq!(arrivals, case.arrivals, "{}", case.name);
        if case.is_complete {
            let answer = answer.unwrap();
            assert_eq!(answer.status, 200, "{}", case.name);
            let expected: Vec<u64> = (1..=EVENTS).collect();
            assert_eq!(
                ids(&answer.text()),
                expected,
                "{}: {}",
                case.name,
                answer.text()
            );
        } else {
            assert!(answer.is_err(), "{}: must not look complete", case.name);
        }
    }
}

/// Guards against delivering an answer of low confidence, and against a second attempt
/// after one of high confidence.
#[test]
fn low_confidence_escalates_to_the_larger_model() {
    struct Case {
        name: &'static str,
        confidence: &'static str,
        models: &'static [&'static str],
        /// Rank in the engine's queue, for each attempt.
        ranks: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "high confidence",
            confidence: "90",
            models: &["small"],
            ranks: &["2"],
        },
        Case {
            name: "low confidence",
            confidence: "5",
            models: &["small", "large"],
            ranks: &["2", "5"],
        },
    ];
    for case in cases {
        let script = [
            Behaviour::Events(case.confidence),
            Behaviour::Events(case.confidence),
        ];
        let engine = Endpoint::spawn("a", &script, Behaviour::NotRun);
        let site = Site::spawn(&[("writer", &engine)]);
        let answer = site.chat("id-1").unwrap();
        assert_eq!(answer.status, 200, "{}", case.name);
        let received = engine.received();
        let models: Vec<_> = received
            .iter()
            .filter_map(|req| req.header("model"))
            .collect();
        assert_eq!(models, case.models, "{}", case.name);
        let last = case.models.last().unwrap();
        assert!(
            answer.text().contains(last),
            "{}: {}",
            case.name,
            answer.text()
        );
        let ranks: Vec<_> = received
            .iter()
            .filter_map(|req| req.header("request-urgency"))
            .collect();
        // The team's priority takes precedence over the route's.
        assert_eq!(ranks, case.ranks, "{}", case.name);
    }
}

/// Guards against throwing away an answer that is ready when a larger model fails or does
/// not begin in time, and against delivering parts of both.
#[test]
fn a_smaller_answer_stands_by_for_a_larger_one() {
    struct Case {
        name: &'static str,
        confidence: &'static str,
        larger: Behaviour,
        model: &'static str,
    }
    let cases = [
        Case {
            name: "the larger model answers",
            confidence: "40",
            larger: Behaviour::Events("90"),
            model: "large",
        },
        Case {
            name: "the larger model does not begin in time",
            confidence: "40",
            larger: Behaviour::LateEvents(Duration::from_millis(2_500)),
            model: "small",
        },
        Case {
            name: "a late answer is better than one without confidence",
            confidence: "5",
            larger: Behaviour::LateEvents(Duration::from_millis(1_300)),
            model: "large",
        },
        Case {
            name: "the larger model is refused",
            confidence: "5",
            larger: Behaviour::NotRun,
            model: "small",
        },
        Case {
            name: "the larger model breaks off before its first event",
            confidence: "5",
            larger: Behaviour::Close,
            model: "small",
        },
    ];
    for case in cases {
        let script = [Behaviour::Events(case.confidence), case.larger.clone()];
        let engine = Endpoint::spawn("a", &script, Behaviour::NotRun);
        let site = Site::spawn(&[("writer", &engine)]);
        let answer = site.chat("id-1").unwrap();
        let text = answer.text();
        assert_eq!((answer.status, ids(&text).len()), (200, 6), "{}", case.name);
        assert!(text.contains(case.model), "{}: {text}", case.name);
        let expected: Vec<u64> = (1..=EVENTS).collect();
        assert_eq!(ids(&text), expected, "{}", case.name);
    }
}

/// Guards against a buffered answer that broke off and is delivered as if it were complete.
#[test]
fn an_answer_that_breaks_off_on_standby_is_resumed() {
    struct Case {
        name: &'static str,
        /// Last event before the smaller model's answer breaks off.
        last: u64,
    }
    let cases = [
        Case {
            name: "after some events",
            last: 3,
        },
        Case {
            name: "after the first event",
            last: 1,
        },
    ];
    for case in cases {
        let script = [
            Behaviour::DoubtfulCut(case.last, "40"),
            Behaviour::LateEvents(Duration::from_millis(2_500)),
        ];
        let script = Arc::new(Mutex::new(script.into_iter().rev().collect()));
        let engines = ["a", "b"].map(|id| Endpoint::shared(id, &script, Behaviour::Events("90")));
        let site = Site::spawn(&engines.each_ref().map(|engine| ("writer", engine)));
        let answer = site.chat("id-1").unwrap();
        let expected: Vec<u64> = (1..=EVENTS).collect();
        assert_eq!(ids(&answer.text()), expected, "{}", case.name);
    }
}

/// Guards against more runs than the route permits, where the smaller answer has broken off
/// on standby and the larger model does not begin.
#[test]
fn an_escalation_keeps_to_the_limit_of_attempts() {
    let script = [
        Behaviour::DoubtfulCut(0, "40"),
        Behaviour::LateEvents(Duration::from_millis(2_500)),
    ];
    let script = Arc::new(Mutex::new(script.into_iter().rev().collect()));
    let engines = ["a", "b"].map(|id| Endpoint::shared(id, &script, Behaviour::Events("90")));
    let mut config = config(1);
    config["Routes"][0]["MaxAttempts"] = 2.into();
    let endpoints = engines.each_ref().map(|engine| ("writer", engine));
    let site = Site::with_config(&endpoints, &config);
    let answer = site.chat("id-1").unwrap();
    assert_eq!(answer.status, 502, "outcome unknown: {}", answer.text());
    let arrivals: usize = engines.iter().map(|engine| engine.received().len()).sum();
    assert_eq!(arrivals, 2);
}

/// Guards against an answer that is cut off by the deadline although that of a smaller model
/// was at hand.
#[test]
fn an_answer_at_hand_is_delivered_where_the_larger_one_would_end_too_late() {
    struct Case {
        name: &'static str,
        confidence: &'static str,
    }
    let cases = [
        Case {
            name: "no confidence",
            confidence: "0",
        },
        Case {
            name: "little confidence",
            confidence: "20",
        },
    ];
    for case in cases {
        // All events take 12 s, and callers wait for 4 s.
        let paced = || Behaviour::PacedEvents(Duration::from_millis(2_400), "90");
        let script = Arc::new(Mutex::new(vec![
            Behaviour::Events(case.confidence),
            paced(),
        ]));
        let engines = ["a", "b"].map(|id| Endpoint::shared(id, &script, paced()));
        let mut config = config(1);
        config["Routes"][0]["GapAimMs"] = 3_000.into();
        let endpoints = engines.each_ref().map(|engine| ("writer", engine));
        let site = Site::with_config(&endpoints, &config);
        // Its events show how fast the service writes; it has no other answer at hand.
        let first = site.chat("id-1");
        assert!(first.is_err(), "{}: the first is cut off", case.name);
        let answer = site.chat("id-2").map(|answer| ids(&answer.text()).len());
        assert_eq!(answer.ok(), Some(6), "{}", case.name);
    }
}

/// Guards against treating a busy endpoint as gone because it sends nothing while it
/// processes a prompt.
#[test]
fn silent_but_reachable_endpoint_is_waited_for() {
    let busy = Behaviour::LateEvents(Duration::from_millis(1_300));
    let script = Arc::new(Mutex::new(vec![busy]));
    let engines = ["a", "b"].map(|id| Endpoint::shared(id, &script, Behaviour::Events("90")));
    let site = Site::spawn(&engines.each_ref().map(|engine| ("writer", engine)));
    let answer = site.chat("id-1").unwrap();
    assert_eq!((answer.status, ids(&answer.text()).len()), (200, 6));
    let arrivals: usize = engines.iter().map(|engine| engine.received().len()).sum();
    assert_eq!(arrivals, 1, "sent once");
}

/// Guards against a sound stream that is cut for a pause of its endpoint although no other
/// endpoint may go on.
#[test]
fn a_pause_does_not_end_a_stream_that_may_not_be_resumed() {
    struct Case {
        name: &'static str,
        /// Last event before the pause.
        last: u64,
    }
    let cases = [
        Case {
            name: "in the middle",
            last: 3,
        },
        Case {
            name: "before the last event",
            last: EVENTS - 1,
        },
    ];
    for case in cases {
        // Longer than the silence after which another endpoint would be tried.
        let pause = Duration::from_millis(2_500);
        let script = [Behaviour::PausedEvents(case.last, pause)];
        let engine = Endpoint::spawn("a", &script, Behaviour::NotRun);
        let mut config = config(1);
        config["Routes"][0]["StreamResume"] = false.into();
        // An engine is asked for its status; another service is taken to hang.
        let service = config["Services"][0].as_object_mut().unwrap();
        service.remove("Engine");
        let site = Site::with_config(&[("writer", &engine)], &config);
        let answer = site.chat("id-1").unwrap();
        let expected: Vec<u64> = (1..=EVENTS).collect();
        assert_eq!(ids(&answer.text()), expected, "{}", case.name);
        assert_eq!(engine.received().len(), 1, "{}", case.name);
    }
}

/// Guards against waiting for the full attempt timeout when the endpoint has gone.
#[test]
fn silent_unreachable_endpoint_is_abandoned() {
    let listener = TcpListener::bind(isolation::free_addr()).unwrap();
    let gone = Endpoint::at("gone", listener.local_addr().unwrap());
    let site = Site::spawn(&[("writer", &gone)]);
    let next = Endpoint::spawn("next", &[], Behaviour::Events("90"));
    thread::scope(|scope| {
        let sent = Instant::now();
        let answer = scope.spawn(|| site.chat("id-1").unwrap());
        let (tcp, _) = listener.accept().unwrap();
        put_endpoint(&site.store, "writer", &next, 2);
        drop(listener);
        let answer = answer.join().unwrap();
        assert_eq!((answer.status, ids(&answer.text()).len()), (200, 6));
        // The attempt timeout alone is 1.6 times the latency objective of 1 s.
        let took = sent.elapsed();
        assert!(took < Duration::from_millis(1_500), "{took:?}");
        drop(tcp);
    });
}

/// Guards against the text of an error, or its whole head, in the middle of a stream whose
/// endpoint broke off, and against a stream that then ends as if it were complete.
#[test]
fn a_broken_stream_goes_on_with_its_next_event_or_not_at_all() {
    use Behaviour::{Answer, Raw};
    struct Case {
        name: &'static str,
        /// Answer of the next endpoint.
        next: Behaviour,
    }
    let case = |name, next| Case { name, next };
    let cases = [
        case("a failure", Answer(500, "event: error\n\n")),
        case("a failure that promises too much", Answer(503, "error\n\n")),
        case("a refusal", Answer(404, "error\n\n")),
        case("a redirection", Answer(302, "error\n\n")),
        case(
            "an error with the status of success",
            Answer(200, "error\n\n"),
        ),
        case("success without a body", Answer(200, "")),
        case("no content", Answer(204, "")),
        case(
            "an error as an event without an id",
            Raw("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: a\r\n\
                 Content-Type: text/event-stream\r\n\r\nevent: error\ndata: error\n\n"),
        ),
        case(
            "the head of an error as a part of the stream",
            Raw("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: a\r\n\
                 Content-Type: text/event-stream\r\n\r\n\
                 HTTP/1.1 500 error\r\nServer-Seal: a\r\n\r\nerror\n\n"),
        ),
        case(
            "the events from the start, of which one is an error",
            Raw("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: a\r\n\
                 Content-Type: text/event-stream\r\n\r\n\
                 id: 4\ndata: 4 small\n\nerror\n\n"),
        ),
    ];
    for case in cases {
        let script = vec![case.next, Behaviour::Cut(3)];
        let script = Arc::new(Mutex::new(script));
        let engines =
            ["a", "b", "c"].map(|id| Endpoint::shared(id, &script, Behaviour::Events("90")));
        let site = Site::spawn(&engines.each_ref().map(|engine| ("writer", engine)));
        let req = b"POST /chat/x HTTP/1.1\r\nHost: example.test\r\nAttempt-Id: id-1\r\n\
                    Deadline-Ms: 4000\r\nKey: key-red\r\nModel: *\r\nToken-Count: 100,20\r\n\
                    Prefix-Hash: 0a:60,0b:40\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        let received = raw::read_to_close(raw::open(site.callers, req));
        let (head, body) = received.split_once("\r\n\r\n").unwrap();
        assert!(head.starts_with("HTTP/1.1 200"), "{}: {head}", case.name);
        assert!(!body.contains("error"), "{}: {body}", case.name);
        assert!(!body.contains("HTTP/1.1"), "{}: {body}", case.name);
        let received = ids(&body.replace('\r', ""));
        let expected: Vec<_> = (1..=EVENTS).take(received.len()).collect();
        assert_eq!(received, expected, "{}", case.name);
        let is_complete = body.ends_with("0\r\n\r\n");
        let has_all = received.len() as u64 == EVENTS;
        assert_eq!(is_complete, has_all, "{}: {body}", case.name);
    }
}
