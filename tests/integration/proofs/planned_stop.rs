//! I11: a planned stop interrupts no request.

use std::time::Duration;

use quetzalworks::platform::Stream;
use serde_json::json;

use crate::proofs::caller::{self, Caller, Chat, Ended};
use crate::testing::cluster::Cluster;
use crate::testing::spec::{Spec, serving};

/// Time of the load before the stop and after the restart.
const LOADED: Duration = Duration::from_millis(400);
const TOKENS: u64 = 50;

struct Case {
    name: &'static str,
    /// Stops a process with SIGTERM, waits for its end and starts it again.
    restart: fn(&mut Cluster),
}

const CASES: &[Case] = &[
    Case {
        name: "a sidecar stops",
        restart: |cluster| {
            let process = &mut cluster.sidecars[0].process;
            process.terminate();
            assert!(process.wait_exit().success());
            process.restart();
        },
    },
    Case {
        name: "two sidecars stop at the same moment",
        restart: |cluster| {
            for node in &mut cluster.sidecars[1..3] {
                node.process.terminate();
            }
            for node in &mut cluster.sidecars[1..3] {
                assert!(node.process.wait_exit().success());
                node.process.restart();
            }
        },
    },
    Case {
        name: "an entry stops",
        restart: |cluster| {
            let process = &mut cluster.entries[0].process;
            process.terminate();
            assert!(process.wait_exit().success());
            process.restart();
        },
    },
    Case {
        name: "an entry and a sidecar stop at the same moment",
        restart: |cluster| {
            cluster.entries[1].process.terminate();
            cluster.sidecars[3].process.terminate();
            for node in [&mut cluster.entries[1], &mut cluster.sidecars[3]] {
                assert!(node.process.wait_exit().success());
                node.process.restart();
            }
        },
    },
];

/// Guards against a stream or an answer that a planned stop cuts, a refusal
/// for work that has run, and usage that is lost or counted otherwise.
#[test]
fn planned_stops_interrupt_nothing() {
    let mut cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 4,
        engine: Box::new(|_| {
            let mut profile = serving(&["small-1"]);
            profile.between_tokens_ms = "8".parse().unwrap();
            profile
        }),
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
    for case in CASES {
        let restart = || {
            std::thread::sleep(LOADED);
            (case.restart)(&mut cluster);
            std::thread::sleep(LOADED);
        };
        let sent = caller.load_during(case.name, 10, chat, restart);
        for (messages, ended) in &sent {
            let fine = match ended {
                Ended::Whole(_) | Ended::NotSent => true,
                Ended::Refused { not_run, .. } => *not_run,
                Ended::Interrupted => false,
                // A connection that the stopped process had not accepted is
                // reset by the system; nothing may have been run for it.
                Ended::Broken => caller::started(&cluster, messages) == 0,
            };
            assert!(fine, "{}: {messages}: {ended:?}", case.name);
        }
        assert!(caller::answered(&sent).len() >= 10, "{}", case.name);
        caller::wait_for_bills(&cluster, &sent);
        let records = cluster.log.records(Stream::Usage);
        caller::check_bills(case.name, &records, &sent, TOKENS);
        cluster.wait_until_ready();
    }
}
