//! Behaviour of the stand-ins on which other tests rely.

use std::io::{Read, Write};
use std::time::Duration;

use quetzalworks::ids::{Offset, VersionName};
use quetzalworks::platform::{LogClient, PlatformError, Stream};
use quetzalworks::runtime::Traffic;
use quetzalworks::standin::{
    ColdStart, EngineProfile, Faults, LogCommand, Outage, StandinEngine, StandinLog, TcpProxy,
    answer_text,
};
use quetzalworks::units::Millis;
use serde_json::{Value, json};
use smol::future;

use crate::testing::{http, isolation, raw, wait};

const POLL_WAIT: Duration = Duration::from_secs(30);

fn version() -> VersionName {
    "small-1".parse().unwrap()
}

fn bind_engine(profile: EngineProfile) -> StandinEngine {
    let profile = EngineProfile {
        versions: vec![version()],
        ..profile
    };
    smol::block_on(StandinEngine::bind(
        isolation::free_addr(),
        profile,
        &http::traffic(),
    ))
    .unwrap()
}

fn body(text: &str, tokens: u64) -> Value {
    json!({ "model": "small-1", "max_tokens": tokens, "messages": [{ "role": "user", "content": text }] })
}

/// Guards against tests of log failures that pass only because the stand-in did
/// not inject the failure.
#[test]
fn log_injects_configured_faults() {
    struct Case {
        name: &'static str,
        command: LogCommand,
        answered: bool,
        stored: usize,
    }
    let stream = Stream::Control;
    let cases = [
        Case {
            name: "up",
            command: LogCommand::Outage(Outage::Up),
            answered: true,
            stored: 2,
        },
        Case {
            name: "answer lost",
            command: LogCommand::LoseAnswers { stream, count: 1 },
            answered: false,
            stored: 2,
        },
        Case {
            name: "refusing",
            command: LogCommand::Outage(Outage::Refusing),
            answered: false,
            stored: 1,
        },
        Case {
            name: "hanging",
            command: LogCommand::Outage(Outage::Hanging),
            answered: false,
            stored: 1,
        },
        Case {
            name: "first record dropped",
            command: LogCommand::RetainFrom {
                stream,
                offset: Offset(1),
            },
            answered: true,
            stored: 1,
        },
    ];
    for case in cases {
        let log =
            smol::block_on(StandinLog::bind(isolation::free_addr(), &http::traffic())).unwrap();
        log.append(stream, &json!(0)).unwrap();
        log.control(case.command);
        let client = LogClient::new(log.addr(), http::traffic());
        let answer = smol::block_on(client.append(stream, &[json!(1)]));
        assert_eq!(answer.is_ok(), case.answered, "{}", case.name);
        assert_eq!(log.records(stream).len(), case.stored, "{}", case.name);
        if case.name == "answer lost" {
            assert!(
                matches!(answer, Err(PlatformError::Unknown(_))),
                "{answer:?}"
            );
        }
    }
}

/// Guards against a long poll that does not return when a record is appended.
#[test]
fn log_wakes_long_polls() {
    let log = smol::block_on(StandinLog::bind(isolation::free_addr(), &http::traffic())).unwrap();
    let client = LogClient::new(log.addr(), http::traffic());
    let append = async {
        smol::Timer::after(Duration::from_millis(100)).await;
        log.append(Stream::Config, &json!("late")).unwrap();
    };
    let read = client.read(Stream::Config, Offset(0), POLL_WAIT);
    let (page, ()) = smol::block_on(future::zip(read, append));
    assert_eq!(page.unwrap().records.len(), 1);
}

/// Guards against tests of cold starts and poison requests that pass only because
/// the engine does not crash.
#[test]
fn engine_crashes_as_configured() {
    struct Case {
        name: &'static str,
        text: &'static str,
        concurrent: usize,
        overloads: bool,
        crashes: bool,
    }
    let cases = [
        Case {
            name: "within the cold limit",
            text: "fine",
            concurrent: 2,
            overloads: false,
            crashes: false,
        },
        Case {
            name: "above the cold limit",
            text: "fine",
            concurrent: 6,
            overloads: true,
            crashes: false,
        },
        Case {
            name: "poison",
            text: "a marker-x inside",
            concurrent: 1,
            overloads: false,
            crashes: true,
        },
    ];
    for case in cases {
        let engine = bind_engine(EngineProfile {
            first_token_ms: Millis(300),
            cached_first_token_ms: Millis(300),
            poison: Some("marker-x".into()),
            cold: Some(ColdStart {
                bears: 2,
                answers: 100,
                warm_ms: Millis(60_000),
            }),
            ..EngineProfile::default()
        });
        let path = "/v1/chat/completions";
        let answers = http::concurrently(case.concurrent, |_| {
            http::try_post(engine.addr(), path, "", &body(case.text, 2))
        });
        let stats = engine.stats();
        assert_eq!(stats.overloads > 0, case.overloads, "{}", case.name);
        assert_eq!(stats.crashes > 0, case.crashes, "{}", case.name);
        let failed = case.overloads || case.crashes;
        assert_eq!(answers.iter().any(Result::is_err), failed, "{}", case.name);
        assert!(engine.is_cold(), "{}", case.name);
    }
}

/// Guards against an engine that never warms up, does not use its prefix cache,
/// or cannot listen on its address after a restart.
#[test]
fn engine_warms_up_and_restarts() {
    let engine = bind_engine(EngineProfile {
        cold: Some(ColdStart {
            bears: 1,
            answers: 2,
            warm_ms: Millis(60_000),
        }),
        ..EngineProfile::default()
    });
    let send = || http::try_post(engine.addr(), "/v1/chat/completions", "", &body("hello", 3));
    for _ in 0..2 {
        let messages = &body("hello", 3)["messages"];
        assert_eq!(
            send().unwrap().content(),
            answer_text("small-1", messages, 3)
        );
    }
    assert!(!engine.is_cold());
    assert_eq!(engine.stats().cache_hits, 1);
    assert_eq!(engine.served()[0].answered, 2);
    engine.kill();
    assert!(send().is_err());
    smol::block_on(engine.restart()).unwrap();
    assert!(engine.is_cold());
    assert_eq!(send().unwrap().status, 200);
}

/// Guards against a killed engine that counts requests which arrive around the
/// kill towards its next cold start, where they would look like an overload that
/// the router caused.
#[test]
fn killed_engine_accepts_no_requests() {
    struct Case {
        name: &'static str,
        /// Whether the requests are sent before the kill; they are read after it.
        sent_before: bool,
    }
    const CASES: &[Case] = &[
        Case {
            name: "requests are read after the kill",
            sent_before: true,
        },
        Case {
            name: "requests are sent after the kill",
            sent_before: false,
        },
    ];
    const CONNECTIONS: usize = 6;
    let request = {
        let body = body("hello", 5).to_string();
        let length = body.len();
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    };
    for case in CASES {
        // A single executor thread, which the test can block.
        let traffic = Traffic::spawn_threads(1).unwrap();
        let profile = EngineProfile {
            versions: vec![version()],
            cold: Some(ColdStart {
                bears: 2,
                answers: 100,
                warm_ms: Millis(60_000),
            }),
            ..EngineProfile::default()
        };
        let engine = StandinEngine::bind(isolation::free_addr(), profile, &traffic);
        let engine = smol::block_on(engine).unwrap();
        let mut connections: Vec<_> = (0..CONNECTIONS)
            .map(|_| {
                let tcp = raw::open(engine.addr(), b"GET /status HTTP/1.1\r\nhost: e\r\n\r\n");
                let mut buf = [0; 1_024];
                assert!((&tcp).read(&mut buf).unwrap() > 0, "{}", case.name);
                tcp
            })
            .collect();
        let (release, released) = std::sync::mpsc::channel::<()>();
        let (entered, is_blocked) = std::sync::mpsc::channel::<()>();
        let blocker = traffic.spawn(async move {
            entered.send(()).unwrap();
            let _ = released.recv();
        });
        is_blocked.recv().unwrap();
        if !case.sent_before {
            engine.kill();
        }
        for tcp in &mut connections {
            let _ = tcp.write_all(request.as_bytes());
        }
        if case.sent_before {
            engine.kill();
        }
        drop(release);
        smol::block_on(blocker);
        for tcp in connections {
            let answer = raw::read_to_close(tcp);
            assert!(!answer.contains("data:"), "{}: {answer}", case.name);
        }
        assert_eq!(engine.stats().overloads, 0, "{}", case.name);
        assert_eq!(engine.stats().requests, 0, "{}", case.name);
    }
}

/// Guards against orders with an outdated fencing number that are executed by an
/// engine that checks it, or refused by one that does not.
#[test]
fn engine_checks_fences_if_configured() {
    struct Case {
        checks_fence: bool,
        status: u16,
    }
    let cases = [
        Case {
            checks_fence: true,
            status: 409,
        },
        Case {
            checks_fence: false,
            status: 202,
        },
    ];
    for case in cases {
        let engine = bind_engine(EngineProfile {
            checks_fence: case.checks_fence,
            ..EngineProfile::default()
        });
        let order = |fence: u64, action: Value| {
            let order = json!({ "fence": fence, "action": action });
            http::post(engine.addr(), "/orders", "", &order).status
        };
        assert_eq!(order(7, json!({ "load": "small-2" })), 202);
        wait::until("the version is loaded", || engine.versions().len() == 2);
        assert_eq!(order(6, json!({ "unload": "small-1" })), case.status);
        assert_eq!(engine.versions().contains(&version()), case.checks_fence);
    }
}

/// Guards against a lost response whose request was not executed, and a cut that
/// cannot be undone.
#[test]
fn proxy_loses_responses_and_recovers() {
    let log = smol::block_on(StandinLog::bind(isolation::free_addr(), &http::traffic())).unwrap();
    let traffic = http::traffic();
    let proxy =
        smol::block_on(TcpProxy::bind(isolation::free_addr(), log.addr(), &traffic)).unwrap();
    let client = LogClient::new(proxy.addr(), http::traffic());
    let append = || smol::block_on(client.append(Stream::Usage, &[json!(1)]));
    append().unwrap();
    proxy.set(Faults {
        drop_response: true,
        ..Faults::default()
    });
    assert!(matches!(append(), Err(PlatformError::Unknown(_))));
    assert_eq!(log.records(Stream::Usage).len(), 2);
    proxy.set(Faults::cut());
    assert!(append().is_err());
    proxy.set(Faults::default());
    append().unwrap();
}
