//! I4: each request is billed once.

use std::time::Duration;

use quetzalworks::platform::Stream;
use quetzalworks::standin::{Faults, LogCommand, Outage};
use serde_json::json;

use crate::proofs::caller::{self, Caller, Chat};
use crate::testing::cluster::Cluster;
use crate::testing::spec::Spec;

/// Time of the load before a fault begins.
const BEFORE: Duration = Duration::from_millis(150);
const TOKENS: u64 = 30;

struct Case {
    name: &'static str,
    begin: fn(&mut Cluster),
    end: fn(&mut Cluster),
}

fn log_up(cluster: &mut Cluster) {
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
        end: log_up,
    },
    Case {
        name: "the log hangs",
        begin: |cluster| cluster.log.control(LogCommand::Outage(Outage::Hanging)),
        end: log_up,
    },
    Case {
        name: "an entry's appends arrive, the answers do not",
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
        name: "an engine is killed, streams are resumed elsewhere",
        begin: |cluster| cluster.engines[0].kill(),
        end: |cluster| smol::block_on(cluster.engines[0].restart()).unwrap(),
    },
    Case {
        name: "a sidecar is killed, streams are resumed elsewhere",
        begin: |cluster| cluster.sidecars[1].process.kill(),
        end: |cluster| cluster.sidecars[1].process.restart(),
    },
    Case {
        name: "an entry is killed before it has appended",
        begin: |cluster| cluster.entries[1].process.kill(),
        end: |cluster| cluster.entries[1].process.restart(),
    },
];

/// Guards against an answered request that is not billed, that is billed
/// with other tokens than its answer has, or that is billed in another way
/// once the copies of the sidecars have been appended too.
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
        max_tokens: TOKENS,
        ..Chat::default()
    };
    let mut all = Vec::new();
    for case in CASES {
        let sent = std::thread::scope(|scope| {
            let load = scope.spawn(|| caller.load(case.name, 8, 5, chat));
            std::thread::sleep(BEFORE);
            (case.begin)(&mut cluster);
            std::thread::sleep(BEFORE);
            let sent = load.join().unwrap();
            (case.end)(&mut cluster);
            sent
        });
        let whole = caller::answered(&sent).len();
        assert!(whole * 2 >= sent.len(), "{}: {sent:?}", case.name);
        all.extend(sent);
        cluster.wait_until_ready();
    }
    // A planned stop appends the copies of requests whose entry has gone.
    for node in cluster.sidecars.iter_mut().chain(&mut cluster.entries) {
        node.process.terminate();
    }
    for node in cluster.sidecars.iter_mut().chain(&mut cluster.entries) {
        node.process.wait_exit();
    }
    caller::wait_for_bills(&cluster, &all);
    let records = cluster.log.records(Stream::Usage);
    caller::check_bills("after all stops", &records, &all, TOKENS);
}
