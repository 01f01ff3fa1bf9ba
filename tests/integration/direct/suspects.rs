//! Requests that crash the endpoints that run them.

use std::io::Read;
use std::net::TcpListener;
use std::process::Command;
use std::thread;

use hyper::Method;
use quetzalworks::direct::{Effect, Event};
use quetzalworks::ids::{EndpointId, Fingerprint};
use quetzalworks::poison::{AnsweredParts, CrashReport, Subject, VisitStage};
use quetzalworks::runtime::Moment;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::{Site, put_endpoint, put_record};
use crate::direct::world::TestWorld;
use crate::testing::{isolation, wait};

const REQUEST: Fingerprint = Fingerprint(7);

enum Step {
    /// In a visit that goes on.
    Crash(&'static str),
    /// After its visit has gone unanswered.
    CrashLater(&'static str),
    /// A visit goes unanswered.
    Unanswered,
    /// The store may not have taken the last report.
    Lost,
    /// Another entry publishes crashes of these endpoints; none clears the request.
    Published(&'static [&'static str]),
    Answered,
    /// The request comes again and is refused.
    Refused,
    Advance(u64),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    refused: bool,
    /// Number of reports published to other entries.
    published: usize,
}

fn id(text: &str) -> EndpointId {
    text.parse().unwrap()
}

fn crashed(endpoint: &str, stage: VisitStage) -> Event {
    Event::Crashed {
        subject: Subject::Request,
        fingerprint: REQUEST,
        endpoint: id(endpoint),
        stage,
    }
}

/// Guards against a request that keeps crashing endpoints, through other entries
/// too, and against refusing one that was only in flight during some crashes.
#[test]
fn a_request_is_refused_after_three_crashes() {
    use Step::{Advance, Answered, Crash, Published, Refused};
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
            name: "refused again before it expires",
            steps: &[
                Crash("a"),
                Crash("b"),
                Crash("c"),
                Advance(20_000),
                Refused,
                Advance(20_000),
            ],
            refused: true,
            published: 3,
        },
        Case {
            name: "known from other entries, and refused here all the while",
            steps: &[
                Published(&["a", "b", "c"]),
                Advance(9_000),
                Refused,
                Advance(9_000),
                Refused,
                Advance(9_000),
                Refused,
            ],
            refused: true,
            published: 1,
        },
        Case {
            name: "refused here, and reported by another entry",
            steps: &[
                Published(&["a", "b", "c"]),
                Advance(9_000),
                Published(&["a", "b", "c"]),
                Advance(9_000),
                Refused,
            ],
            refused: true,
            published: 0,
        },
        Case {
            name: "all expired",
            steps: &[Crash("a"), Crash("b"), Crash("c"), Advance(31_000)],
            refused: false,
            published: 3,
        },
    ];
    for case in &cases {
        check(case);
    }
}

/// Guards against a request that crashes one endpoint at each visit and comes to another
/// entry each time, against reports on requests that were answered, against reports that are
/// lost, and against as many clearing reports as there are entries.
#[test]
fn crashes_of_unanswered_visits_add_up_over_entries() {
    use Step::{Advance, Answered, Crash, CrashLater, Lost, Published, Unanswered};
    const B: Step = Published(&["a", "b"]);
    const C: Step = Published(&["c"]);
    let each_here = &[
        Crash("a"),
        Unanswered,
        Crash("b"),
        Unanswered,
        Crash("c"),
        Unanswered,
    ];
    let lost_twice = &[
        CrashLater("a"),
        CrashLater("b"),
        Lost,
        Advance(1_000),
        Lost,
        Advance(1_000),
    ];
    let case = |name, steps, refused, published| Case {
        name,
        steps,
        refused,
        published,
    };
    let cases = [
        case(
            "at visits to several entries",
            &[Crash("a"), Unanswered, B, C],
            true,
            1,
        ),
        case("after such visits", &[CrashLater("a"), B, C], true, 1),
        case("at visits to this entry", each_here, true, 3),
        case(
            "answered elsewhere",
            &[Crash("a"), Answered, Unanswered],
            false,
            0,
        ),
        case(
            "answered later",
            &[Crash("a"), Unanswered, Answered],
            false,
            2,
        ),
        case("lost", &[CrashLater("a"), Lost, Advance(3_000)], false, 2),
        case(
            "lost, not due yet",
            &[CrashLater("a"), Lost, Advance(900)],
            false,
            1,
        ),
        case("lost twice", lost_twice, false, 4),
        case(
            "cleared where it crashed",
            &[CrashLater("a"), Advance(31_000)],
            false,
            2,
        ),
        case(
            "known from others alone",
            &[Published(&["a", "b", "c"]), Advance(31_000)],
            false,
            0,
        ),
    ];
    for case in &cases {
        check(case);
    }
}

fn check(case: &Case) {
    use Step::{Advance, Answered, Crash, CrashLater, Lost, Published, Refused, Unanswered};
    let mut world = TestWorld::new();
    for step in case.steps {
        match step {
            Crash(endpoint) => world.tick(vec![crashed(endpoint, VisitStage::Ongoing)]),
            CrashLater(endpoint) => world.tick(vec![crashed(endpoint, VisitStage::Unanswered)]),
            Unanswered => world.tick(vec![Event::SuspectUnanswered(vec![REQUEST])]),
            Lost => world.tick(vec![Event::CrashReportsLost(vec![REQUEST])]),
            Published(endpoints) => world.tick(vec![Event::CrashReports(vec![CrashReport {
                fingerprint: REQUEST,
                endpoints: endpoints.iter().map(|endpoint| id(endpoint)).collect(),
            }])]),
            Answered => world.tick(vec![Event::SuspectCleared(REQUEST)]),
            Refused => world.tick(vec![Event::SuspectRefused(REQUEST)]),
            Advance(millis) => world.advance(*millis),
        }
    }
    let refused = world.snapshot.suspects.is_refused(REQUEST);
    assert_eq!(refused, case.refused, "{}", case.name);
    let published = world.effects.iter().map(|effect| match effect {
        Effect::PublishCrashes(reports) => reports.len(),
        _ => 0,
    });
    assert_eq!(published.sum::<usize>(), case.published, "{}", case.name);
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

/// Headers of a chat whose prompt has these parts.
fn chat_headers(parts: &str) -> [(&str, &str); 4] {
    [
        ("key", "key-red"),
        ("model", "*"),
        ("token-count", "100,20"),
        ("prefix-hash", parts),
    ]
}

/// Guards against requests that crash one endpoint after the other by a part of their
/// prompts, no two alike, and against refusing sound requests with the same other parts.
#[test]
fn all_entries_refuse_a_prompt_part_that_crashes_endpoints() {
    let sound = Endpoint::spawn("sound", &[], Behaviour::Events("90"));
    let site = Site::spawn(&[("writer", &sound)]);
    let (_other, other) = site.spawn_entry();
    let ask = |callers, path, id, parts| {
        Site::call_at(callers, &Method::POST, path, id, &chat_headers(parts)).unwrap()
    };
    for callers in [site.callers, other] {
        for id in ["s-1", "s-2", "s-3"] {
            let answer = ask(callers, "/chat/sound", id, "0a:60,0c:20,01:20");
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    }
    put_record(&site.store, "writer", "sound", sound.addr, "draining", 2);
    let crashers = ["a", "b", "c"].map(crasher);
    for endpoint in &crashers {
        put_endpoint(&site.store, "writer", endpoint, 1);
    }
    wait::until("the endpoints are known", || {
        site.process.lines_with("endpoint appeared").len() >= 4
            && !site.process.lines_with("endpoint is draining").is_empty()
    });
    let first = ask(site.callers, "/chat/1", "d-1", "0a:60,0d:20,02:20");
    assert_eq!(first.status, 502, "{}", first.text());
    let next = Endpoint::spawn("next", &[], Behaviour::Events("90"));
    put_endpoint(&site.store, "writer", &next, 1);
    for (entry, callers) in [("this", site.callers), ("the other", other)] {
        wait::until("sound requests are served", || {
            ask(callers, "/chat/sound", "s-4", "0a:60,0c:20,03:20").status == 200
        });
        wait::until("the crashes are known", || {
            ask(callers, "/chat/2", "d-2", "0d:20,04:20").status == 503
        });
        let refused = ask(callers, "/chat/3", "d-3", "0a:60,0d:20,05:20");
        assert_eq!(refused.json()["title"], "crash_suspect", "{entry}");
        // The new endpoint is cold and takes few requests.
        wait::until("sound requests with the first part are served", || {
            ask(callers, "/chat/4", "s-5", "0a:60,06:20").status == 200
        });
    }
}

/// Guards against blaming popular parts of prompts, or any part while a service as a whole
/// is down.
#[test]
fn only_parts_without_answers_are_suspected() {
    struct Case {
        name: &'static str,
        /// Times of the answers in ms, with the part of each prompt.
        answers: &'static [(u64, u64)],
        suspected: bool,
    }
    const PART: u64 = 1;
    const OTHER: u64 = 2;
    const CRASH_MS: u64 = 60_000;
    let cases = [
        Case {
            name: "others are answered, the part is not",
            answers: &[(59_000, OTHER), (59_500, OTHER), (59_900, OTHER)],
            suspected: true,
        },
        Case {
            name: "the part was answered lately",
            answers: &[(59_000, OTHER), (59_500, PART), (59_900, OTHER)],
            suspected: false,
        },
        Case {
            name: "the part was answered long ago",
            answers: &[
                (40_000, PART),
                (59_000, OTHER),
                (59_500, OTHER),
                (59_900, OTHER),
            ],
            suspected: true,
        },
        Case {
            name: "the service answers nothing",
            answers: &[(50_000, OTHER), (51_000, OTHER), (52_000, OTHER)],
            suspected: false,
        },
        Case {
            name: "the process has just started",
            answers: &[(59_900, OTHER)],
            suspected: false,
        },
    ];
    for case in cases {
        let mut parts = AnsweredParts::default();
        for (at, part) in case.answers {
            parts.record(&[Fingerprint(*part)], Moment::from_millis(*at));
        }
        let suspects = parts.suspects(&[Fingerprint(PART)], Moment::from_millis(CRASH_MS));
        assert_eq!(!suspects.is_empty(), case.suspected, "{}", case.name);
    }
}
