//! Requests that crash the endpoints that run them.

use std::io::Read;
use std::net::TcpListener;
use std::process::Command;
use std::thread;

use hyper::Method;
use quetzalworks::direct::{Effect, Event};
use quetzalworks::ids::{EndpointId, Fingerprint};
use quetzalworks::poison::CrashReport;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::{Site, put_endpoint};
use crate::direct::world::TestWorld;
use crate::testing::{isolation, wait};

const REQUEST: Fingerprint = Fingerprint(7);

enum Step {
    Crash(&'static str),
    /// Another entry publishes crashes of these endpoints; none clears the request.
    Published(&'static [&'static str]),
    Answered,
    Advance(u64),
}

fn id(text: &str) -> EndpointId {
    text.parse().unwrap()
}

/// Guards against a request that keeps crashing endpoints, through other entries
/// too, and against refusing one that was only in flight during some crashes.
#[test]
fn a_request_is_refused_after_three_crashes() {
    use Step::{Advance, Answered, Crash, Published};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        refused: bool,
        /// Number of reports published to other entries.
        published: usize,
    }
    let cases = [
        Case {
            name: "one crash",
            steps: &[Crash("a")],
            refused: false,
            published: 0,
        },
        Case {
            name: "the same endpoint three times",
            steps: &[Crash("a"), Crash("a"), Crash("a")],
            refused: false,
            published: 0,
        },
        Case {
            name: "three endpoints",
            steps: &[Crash("a"), Crash("b"), Crash("c")],
            refused: true,
            published: 2,
        },
        Case {
            name: "one here and two at another entry",
            steps: &[Crash("a"), Published(&["b", "c"])],
            refused: true,
            published: 1,
        },
        Case {
            name: "the same two here and at another entry",
            steps: &[Crash("a"), Crash("b"), Published(&["a", "b"])],
            refused: false,
            published: 1,
        },
        Case {
            name: "answered after two crashes",
            steps: &[Crash("a"), Crash("b"), Answered, Crash("c")],
            refused: false,
            published: 2,
        },
        Case {
            name: "cleared by another entry",
            steps: &[Crash("a"), Crash("b"), Crash("c"), Published(&[])],
            refused: false,
            published: 2,
        },
        Case {
            name: "one expired, two recent",
            steps: &[Crash("a"), Advance(31_000), Crash("b"), Crash("c")],
            refused: false,
            published: 1,
        },
        Case {
            name: "all expired",
            steps: &[Crash("a"), Crash("b"), Crash("c"), Advance(31_000)],
            refused: false,
            published: 3,
        },
    ];
    for case in cases {
        let mut world = TestWorld::new();
        for step in case.steps {
            match step {
                Crash(endpoint) => world.tick(vec![Event::Crashed {
                    fingerprint: REQUEST,
                    endpoint: id(endpoint),
                }]),
                Published(endpoints) => world.tick(vec![Event::CrashReports(vec![CrashReport {
                    fingerprint: REQUEST,
                    endpoints: endpoints.iter().map(|endpoint| id(endpoint)).collect(),
                }])]),
                Answered => world.tick(vec![Event::SuspectCleared(REQUEST)]),
                Advance(millis) => world.advance(*millis),
            }
        }
        let refused = world.snapshot.suspects.is_refused(REQUEST);
        assert_eq!(refused, case.refused, "{}", case.name);
        let published = world.effects.iter();
        let published = published.filter(|effect| matches!(effect, Effect::PublishCrashes(_)));
        assert_eq!(published.count(), case.published, "{}", case.name);
    }
}

/// An endpoint that accepts one connection and crashes on its first request.
fn crasher(id: &'static str) -> Endpoint {
    let listener = TcpListener::bind(isolation::free_addr()).unwrap();
    let endpoint = Endpoint::at(id, listener.local_addr().unwrap());
    thread::spawn(move || {
        let (mut tcp, _) = listener.accept().unwrap();
        let read = tcp.read(&mut [0; 4_096]);
        drop(listener);
        drop((read, tcp));
    });
    endpoint
}

/// Guards against an entry that admits a suspected request although another entry
/// has published it, and against refusing unrelated requests.
#[test]
fn all_entries_refuse_a_request_that_crashes_endpoints() {
    let crashers = ["a", "b", "c"].map(crasher);
    let site = Site::spawn(&crashers.each_ref().map(|endpoint| ("writer", endpoint)));
    let (_other, callers) = site.spawn_entry();
    let ask = |callers, path, id| {
        let headers = [("key", "key-red"), ("model", "*")];
        Site::call_at(callers, &Method::POST, path, id, &headers).unwrap()
    };
    let first = ask(site.callers, "/chat/poison", "id-1");
    assert_eq!(first.status, 502, "{}", first.text());
    let next = Endpoint::spawn("next", &[], Behaviour::Events("90"));
    put_endpoint(&site.store, "writer", &next, 2);
    for (entry, callers) in [("this", site.callers), ("the other", callers)] {
        wait::until("others are served", || {
            ask(callers, "/chat/other", "id-2").status == 200
        });
        wait::until("the request is refused", || {
            ask(callers, "/chat/poison", "id-3").status == 503
        });
        let refused = ask(callers, "/chat/poison", "id-4");
        assert_eq!(refused.json()["title"], "crash_suspect", "{entry}");
        assert!(refused.header("retry-after").is_some(), "{entry}");
    }
    // The log explains the refusal by the crashes, given only the request's id.
    let log_file = &site.process.log_file;
    wait::until("the request is logged", || {
        !site.process.lines_with("id-4").is_empty()
    });
    let explanation = Command::new(env!("CARGO_BIN_EXE_quetzalworks"))
        .args(["explain-log", "id-4"])
        .arg(log_file)
        .output()
        .unwrap();
    let explanation = String::from_utf8(explanation.stdout).unwrap();
    let lines = explanation
        .matches("endpoint crashed under a request")
        .count();
    assert!(lines >= 3, "{lines} crashes in {explanation}");
    let received = next.received();
    let poison = received.iter().filter(|req| req.path() == "/chat/poison");
    assert_eq!(poison.count(), 0, "executed after the third crash");
}
