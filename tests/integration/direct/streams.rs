//! Streams of model engines: whole events, resumed, from the right model.

use crate::direct::endpoint::{Behaviour, EVENTS, Endpoint};
use crate::direct::site::Site;

fn ids(text: &str) -> Vec<u64> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().unwrap()).collect()
}

/// Guards against gaps, repeats and half events, and against a stream that
/// ends although another endpoint could go on.
#[test]
fn a_stream_is_whole_or_broken_off() {
    use Behaviour::{Answer, Close, Cut, Events, NotRun, Stall};
    struct Case {
        name: &'static str,
        script: Vec<Behaviour>,
        /// Whether the caller gets the whole stream.
        whole: bool,
        arrivals: usize,
    }
    let cases = [
        Case {
            name: "whole",
            script: vec![Events("90")],
            whole: true,
            arrivals: 1,
        },
        Case {
            name: "not run at first",
            script: vec![NotRun, Events("90")],
            whole: true,
            arrivals: 2,
        },
        Case {
            name: "closed before the head",
            script: vec![Close, Events("90")],
            whole: true,
            arrivals: 2,
        },
        Case {
            name: "failure at first",
            script: vec![Answer(500, "bad"), Events("90")],
            whole: true,
            arrivals: 2,
        },
        Case {
            name: "cut within the first event",
            script: vec![Cut(0), Events("90")],
            whole: true,
            arrivals: 2,
        },
        Case {
            name: "cut within a later event",
            script: vec![Cut(3), Events("90")],
            whole: true,
            arrivals: 2,
        },
        Case {
            name: "stalled after an event",
            script: vec![Stall(2), Events("90")],
            whole: true,
            arrivals: 2,
        },
        Case {
            name: "stalled before an event",
            script: vec![Stall(0), Events("90")],
            whole: true,
            arrivals: 2,
        },
        Case {
            name: "cut twice",
            script: vec![Cut(2), Cut(4), Events("90")],
            whole: true,
            arrivals: 3,
        },
        Case {
            name: "cut three times: no further run is allowed",
            script: vec![Cut(1), Cut(2), Cut(3), Events("90")],
            whole: false,
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
        if case.whole {
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

/// Guards against an answer that the model itself does not trust, and against
/// a second run where the first is good enough.
#[test]
fn a_larger_model_answers_where_the_smaller_is_not_sure() {
    struct Case {
        name: &'static str,
        confidence: &'static str,
        models: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "sure",
            confidence: "90",
            models: &["small"],
        },
        Case {
            name: "not sure",
            confidence: "5",
            models: &["small", "large"],
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
        let urgency = received[0].header("request-urgency");
        assert_eq!(
            urgency,
            Some("2"),
            "the team's priority goes before the route's"
        );
    }
}
