//! Invariant I4: each request is billed once.

use std::time::Duration;

use quetzalworks::platform::Stream;
use quetzalworks::standin::{Faults, LogCommand, Outage};
use serde_json::json;

use crate::proofs::caller::{self, Caller, Chat};
use crate::testing::cluster::Cluster;
use crate::testing::spec::Spec;

/// Duration of the load before a fault is injected.
const LOAD_BEFORE_FAULT: Duration = Duration::from_millis(150);
const ANSWER_TOKENS: u64 = 30;

struct Case {
    name: &'static str,
    begin: fn(&mut Cluster),
    end: fn(&mut Cluster),
}

fn restore_log(cluster: &mut Cluster) {
    cluster.log.control(LogCommand::Outage(Outage::Up));
}

const CASES: &[Case] = &[
    Case {
        name: "answers to appends are lost",
        begin: |cluster| {
            cluster.log.control(LogCommand::LoseAnswers {
                stream: Stream::Usage,
                count: 4,
            });
        },
        end: |_| (),
    },
    Case {
        name: "the log refuses",
        begin: |cluster| cluster.log.control(LogCommand::Outage(Outage::Refusing)),
        end: restore_log,
    },
    Case {
        name: "the log is unresponsive",
        begin: |cluster| cluster.log.control(LogCommand::Outage(Outage::Hanging)),
        end: restore_log,
    },
    Case {
        name: "appends of an entry take effect, their answers are lost",
        begin: |cluster| {
            let proxy = cluster.entries[0].log_proxy.as_ref().unwrap();
            proxy.set(Faults {
                cut_to_client: true,
                ..Faults::default()
            });
        },
        end: |cluster| {
            let proxy = cluster.entries[0].log_proxy.as_ref().unwrap();
            proxy.set(Faults::default());
        },
    },
    Case {
        name: "an engine is killed, streams are resumed on another endpoint",
        begin: |cluster| cluster.engines[0].kill(),
        end: |cluster| smol::block_on(cluster.engines[0].restart()).unwrap(),
    },
    Case {
        name: "a sidecar is killed, streams are resumed on another endpoint",
        begin: |cluster| cluster.sidecars[1].process.kill(),
        end: |cluster| cluster.sidecars[1].process.restart(),
    },
    Case {
        name: "an entry is killed before it has appended its records",
        begin: |cluster| cluster.entries[1].process.kill(),
        end: |cluster| cluster.entries[1].process.restart(),
    },
];

/// Guards against an answered request that is not billed, or is billed with another
/// number of tokens than its answer has, also after the sidecars have appended their
/// copies of the usage records.
#[test]
fn answered_requests_are_billed_once() {
    let mut cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 4,
        proxy_log: true,
        entry: json!({ "usage_flush_ms": 100 }),
        sidecar: json!({ "cold_limit": 16, "max_concurrent": 16 }),
        settings: json!({ "drain_timeout_ms": 10_000 }),
        ..Spec::default()
    });
    let caller = Caller::of(&cluster);
    let chat = Chat {
        max_tokens: ANSWER_TOKENS,
        ..Chat::default()
    };
    let mut all = Vec::new();
    for case in CASES {
        let sent = std::thread::scope(|scope| {
            let load = scope.spawn(|| caller.load(case.name, 8, 5, chat));
            std::thread::sleep(LOAD_BEFORE_FAULT);
            (case.begin)(&mut cluster);
            std::thread::sleep(LOAD_BEFORE_FAULT);
            let sent = load.join().unwrap();
            (case.end)(&mut cluster);
            sent
        });
        let complete = caller::answered(&sent).len();
        assert!(complete * 2 >= sent.len(), "{}: {sent:?}", case.name);
        all.extend(sent);
        cluster.wait_until_ready();
    }
    // On a planned stop, sidecars append the copies of records that no entry confirmed.
    for node in cluster.sidecars.iter_mut().chain(&mut cluster.entries) {
        node.process.terminate();
    }
    for node in cluster.sidecars.iter_mut().chain(&mut cluster.entries) {
        node.process.wait_exit();
    }
    caller::wait_for_bills(&cluster, &all);
    let records = cluster.log.records(Stream::Usage);
    caller::check_bills("after all stops", &records, &all, ANSWER_TOKENS);
}
