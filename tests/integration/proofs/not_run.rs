//! Invariant I8: a request refused as "not run" has not run.

use std::time::Duration;

use hyper::Method;
use quetzalworks::standin::{LogCommand, Outage, ServiceCommand};
use quetzalworks::units::Millis;
use serde_json::json;

use crate::proofs::caller::{self, Caller, Chat, Outcome};
use crate::testing::cluster::Cluster;
use crate::testing::http;
use crate::testing::spec::{Spec, serving};

/// Duration of the load before a fault is injected.
const LOAD_BEFORE_FAULT: Duration = Duration::from_millis(100);

struct Case {
    name: &'static str,
    callers: usize,
    chat: Chat,
    begin: fn(&mut Cluster),
    end: fn(&mut Cluster),
}

const SHORT_CHAT: Chat = Chat {
    max_tokens: 8,
    stream: false,
    deadline_ms: "30000",
};

const CASES: &[Case] = &[
    Case {
        name: "queues are full",
        callers: 40,
        chat: SHORT_CHAT,
        begin: |_| (),
        end: |_| (),
    },
    Case {
        name: "deadlines pass while requests wait",
        callers: 16,
        chat: Chat {
            deadline_ms: "90",
            ..SHORT_CHAT
        },
        begin: |_| (),
        end: |_| (),
    },
    Case {
        name: "engines are killed under load",
        callers: 24,
        chat: SHORT_CHAT,
        begin: |cluster| {
            for engine in &cluster.engines {
                engine.kill();
            }
        },
        end: |cluster| {
            for engine in &cluster.engines {
                smol::block_on(engine.restart()).unwrap();
            }
        },
    },
    Case {
        name: "sidecars are killed under load",
        callers: 24,
        chat: SHORT_CHAT,
        begin: |cluster| {
            for node in &mut cluster.sidecars {
                node.process.kill();
            }
        },
        end: |cluster| {
            for node in &mut cluster.sidecars {
                node.process.restart();
            }
        },
    },
    Case {
        name: "all domains are taken out under load",
        callers: 24,
        chat: SHORT_CHAT,
        begin: |cluster| {
            for i in 0..2 {
                let out = json!({ "domain": { "out": true } });
                cluster.publish(&format!("domains/domain-{i}"), 0, out);
            }
        },
        end: |_| (),
    },
];

/// Guards against a "not run" refusal of a request that an engine has started: its
/// caller would run it a second time.
#[test]
fn refused_requests_have_not_run() {
    let mut cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 2,
        engine: Box::new(|_| {
            let mut profile = serving(&["small-1"]);
            profile.first_token_ms = "15".parse().unwrap();
            profile.between_tokens_ms = "5".parse().unwrap();
            profile
        }),
        sidecar: json!({ "cold_limit": 2, "max_concurrent": 2, "queue": 4 }),
        ..Spec::default()
    });
    let caller = Caller::of(&cluster);
    for case in CASES {
        let sent = std::thread::scope(|scope| {
            let load = scope.spawn(|| caller.load(case.name, case.callers, 8, case.chat));
            std::thread::sleep(LOAD_BEFORE_FAULT);
            (case.begin)(&mut cluster);
            let sent = load.join().unwrap();
            (case.end)(&mut cluster);
            sent
        });
        let mut refused = 0;
        for (messages, outcome) in &sent {
            if let Outcome::Refused { not_run: true, .. } = outcome {
                let times_started = caller::times_started(&cluster, messages);
                assert_eq!(times_started, 0, "{}: {messages}: {outcome:?}", case.name);
                refused += 1;
            }
        }
        assert!(refused > 0, "{}: nothing was refused: {sent:?}", case.name);
        if case.name != "all domains are taken out under load" {
            cluster.wait_until_ready();
        }
    }
}

struct CallCase {
    name: &'static str,
    /// Calls of each caller. Each waits 4 s for its claim while the log is unresponsive.
    calls: usize,
    begin: fn(&mut Cluster),
    end: fn(&mut Cluster),
}

const CALL_CASES: &[CallCase] = &[
    CallCase {
        name: "the log refuses",
        calls: 2,
        begin: |cluster| cluster.log.control(LogCommand::Outage(Outage::Refusing)),
        end: |cluster| cluster.log.control(LogCommand::Outage(Outage::Up)),
    },
    CallCase {
        name: "the log is unresponsive",
        calls: 1,
        begin: |cluster| cluster.log.control(LogCommand::Outage(Outage::Hanging)),
        end: |cluster| cluster.log.control(LogCommand::Outage(Outage::Up)),
    },
    CallCase {
        name: "queues are full and the service's connections are severed",
        calls: 8,
        begin: |cluster| {
            for service in &cluster.services {
                service.sever();
            }
        },
        end: |_| (),
    },
    CallCase {
        name: "sidecars are killed under load",
        calls: 8,
        begin: |cluster| {
            for node in &mut cluster.service_sidecars {
                node.process.kill();
            }
        },
        end: |cluster| {
            for node in &mut cluster.service_sidecars {
                node.process.restart();
            }
        },
    },
];

/// Guards against a "not run" refusal of a call that the service has executed: its
/// caller would repeat it under another key.
#[test]
fn refused_calls_have_not_run() {
    let mut cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 1,
        services: 2,
        sidecar: json!({ "cold_limit": 2, "max_concurrent": 2, "queue": 2 }),
        ..Spec::default()
    });
    let caller = Caller::of(&cluster);
    for service in &cluster.services {
        service.control(ServiceCommand::Delay(Millis(30)));
    }
    for case in CALL_CASES {
        let answers = std::thread::scope(|scope| {
            let calls = || {
                http::concurrently(16, |i| -> Vec<_> {
                    let texts = (0..case.calls).map(|j| format!("{} {i}.{j}", case.name));
                    let call = |text: String| {
                        let key = text.replace(' ', "-");
                        let answer = caller.call(i % 2, &Method::POST, &key, &text);
                        (text, answer.unwrap())
                    };
                    texts.map(call).collect()
                })
            };
            let calls = scope.spawn(calls);
            std::thread::sleep(LOAD_BEFORE_FAULT);
            (case.begin)(&mut cluster);
            let answers = calls.join().unwrap();
            (case.end)(&mut cluster);
            answers
        });
        let mut refused = 0;
        for (text, answer) in answers.into_iter().flatten() {
            let executions = caller::executions(&cluster, &text);
            if answer.status == 201 {
                assert_eq!(executions, 1, "{text}");
            } else if answer.json()["not_run"] == true {
                assert_eq!(executions, 0, "{text}: {}", answer.text());
                refused += 1;
            }
        }
        assert!(refused > 0, "{}: nothing was refused", case.name);
    }
}
