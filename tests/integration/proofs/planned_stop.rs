//! Invariant I11: a planned stop interrupts no request.

use std::time::Duration;

use quetzalworks::platform::Stream;
use serde_json::json;

use crate::proofs::caller::{self, Caller, Chat, Outcome};
use crate::testing::cluster::Cluster;
use crate::testing::spec::{Spec, serving};

/// Duration of the load before the stop, and again after the restart.
const LOAD_TIME: Duration = Duration::from_millis(400);
const ANSWER_TOKENS: u64 = 50;

struct Case {
    name: &'static str,
    /// Stops processes with SIGTERM, waits for their exit and restarts them.
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
        name: "two sidecars stop concurrently",
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
        name: "an entry and a sidecar stop concurrently",
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

/// Guards against an answer that a planned stop truncates, a "not run" refusal of work
/// that has run, and usage that is lost or miscounted.
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
        max_tokens: ANSWER_TOKENS,
        ..Chat::default()
    };
    for case in CASES {
        let restart = || {
            std::thread::sleep(LOAD_TIME);
            (case.restart)(&mut cluster);
            std::thread::sleep(LOAD_TIME);
        };
        let sent = caller.load_during(case.name, 10, chat, restart);
        for (messages, outcome) in &sent {
            let is_allowed = match outcome {
                Outcome::Complete(_) | Outcome::NotSent => true,
                Outcome::Refused { not_run, .. } => *not_run,
                Outcome::Interrupted => false,
                // The system resets a connection that the stopped process had not
                // accepted; no work may have run for it.
                Outcome::Disconnected => caller::times_started(&cluster, messages) == 0,
            };
            assert!(is_allowed, "{}: {messages}: {outcome:?}", case.name);
        }
        assert!(caller::answered(&sent).len() >= 10, "{}", case.name);
        caller::wait_for_bills(&cluster, &sent);
        let records = cluster.log.records(Stream::Usage);
        caller::check_bills(case.name, &records, &sent, ANSWER_TOKENS);
        cluster.wait_until_ready();
    }
}
