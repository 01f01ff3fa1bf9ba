//! Usage records and the outbox.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;

use quetzalworks::attempt::Usage;
use quetzalworks::billing::{AttemptRecord, Draft, Outbox, UsageRecord};
use quetzalworks::catalog::Version;
use quetzalworks::errors::{Refusal, ResultCode};
use quetzalworks::ids::RequestId;
use quetzalworks::platform::Stream;
use quetzalworks::route::Reason;
use quetzalworks::units::{MicroCost, Millis, Quality, Tokens};
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::{http, wait};

fn attempt(number: u16, vm: &str) -> AttemptRecord {
    AttemptRecord {
        number,
        vm: vm.parse().unwrap(),
        domain: "north".parse().unwrap(),
        version: Some("small-1".parse().unwrap()),
        reason: Reason::CheapestAtTarget,
        config: None,
        result: None,
        message: None,
    }
}

fn draft(id: u128) -> Draft {
    Draft::new(
        RequestId(id),
        "red".parse().unwrap(),
        "entry-0".parse().unwrap(),
    )
}

fn record(id: u128, vms: &[&str]) -> UsageRecord {
    let mut draft = draft(id);
    for (number, vm) in (1..).zip(vms) {
        draft.begin_attempt(attempt(number, vm));
        draft.mark_ran();
    }
    draft.finish(None, Millis(1)).unwrap()
}

fn version(cost: u64) -> Arc<Version> {
    Arc::new(Version {
        model: "small".parse().unwrap(),
        prompt_cost: MicroCost(cost),
        output_cost: MicroCost(cost),
        prior_quality: Quality::clamped(0.8),
        withdrawn: false,
    })
}

/// Guards against a request that is charged twice for its prompt on one version, not
/// charged for a second version, or billed although nothing ran.
#[test]
fn drafts_sum_up_attempts() {
    struct Case {
        name: &'static str,
        /// Index of the version, prompt tokens and output tokens of each attempt.
        attempts: &'static [(usize, u64, u64)],
        ran: bool,
        cost: Option<u64>,
    }
    let cases = [
        Case {
            name: "refused by all endpoints",
            attempts: &[],
            ran: false,
            cost: None,
        },
        Case {
            name: "one attempt",
            attempts: &[(0, 10, 5)],
            ran: true,
            cost: Some(15),
        },
        Case {
            name: "resumed: prompt charged once",
            attempts: &[(0, 10, 5), (0, 10, 7)],
            ran: true,
            cost: Some(22),
        },
        Case {
            name: "cascade: both versions charged",
            attempts: &[(0, 10, 5), (1, 10, 5)],
            ran: true,
            cost: Some(15 + 30),
        },
        Case {
            name: "ran without reported usage",
            attempts: &[],
            ran: true,
            cost: Some(0),
        },
    ];
    for case in cases {
        let versions = [version(1_000), version(2_000)];
        let mut draft = draft(1);
        draft.begin_attempt(attempt(1, "vm-1"));
        draft.record_failure(&Refusal::new(ResultCode::Overloaded, "full"));
        if case.ran {
            draft.mark_ran();
        }
        for (version, prompt, output) in case.attempts {
            let usage = Usage {
                prompt: Tokens(*prompt),
                output: Tokens(*output),
            };
            draft.add_usage(&versions[*version], usage);
        }
        let record = draft.finish(None, Millis(1));
        assert_eq!(
            record.map(|record| record.cost.0),
            case.cost,
            "{}",
            case.name
        );
    }
}

/// Guards against records that are lost before they are durable, an unbounded outbox, and
/// a VM that is not notified of durable records.
#[test]
fn the_outbox_keeps_records_until_they_are_confirmed() {
    struct Case {
        name: &'static str,
        pushed: u128,
        confirmed: &'static [u128],
        nearly_full: bool,
        remaining: usize,
    }
    let cases = [
        Case {
            name: "empty",
            pushed: 0,
            confirmed: &[],
            nearly_full: false,
            remaining: 0,
        },
        Case {
            name: "three quarters full",
            pushed: 6,
            confirmed: &[],
            nearly_full: false,
            remaining: 6,
        },
        Case {
            name: "more than three quarters full",
            pushed: 7,
            confirmed: &[],
            nearly_full: true,
            remaining: 7,
        },
        Case {
            name: "more records than the capacity",
            pushed: 12,
            confirmed: &[],
            nearly_full: true,
            remaining: 8,
        },
        Case {
            name: "confirmed in the middle",
            pushed: 7,
            confirmed: &[3, 4, 99],
            nearly_full: false,
            remaining: 5,
        },
    ];
    for case in cases {
        let mut outbox = Outbox::with_capacity(8);
        for id in 0..case.pushed {
            let fits = outbox.push(record(id, &["vm-1", "vm-2"]));
            assert_eq!(fits, id < 8, "{}", case.name);
        }
        let durable: HashSet<_> = case.confirmed.iter().copied().map(RequestId).collect();
        let by_vm = outbox.confirm(&durable);
        assert_eq!(outbox.is_nearly_full(), case.nearly_full, "{}", case.name);
        assert_eq!(outbox.len(), case.remaining, "{}", case.name);
        assert_eq!(
            outbox.oldest_batch(2).len(),
            case.remaining.min(2),
            "{}",
            case.name
        );
        let notified = case.confirmed.iter().any(|id| *id < case.pushed);
        assert_eq!(by_vm.len(), if notified { 2 } else { 0 }, "{}", case.name);
    }
}

/// Guards against an answer, streamed or not, that has no usage record or more than one.
#[test]
fn each_answer_is_billed_once() {
    let cluster = Cluster::start(1, 2);
    let mut ids = Vec::new();
    for stream in [false, true] {
        let body = json!({
            "model": "chat", "stream": stream, "max_tokens": 3,
            "messages": [{ "role": "user", "content": "bill me" }],
        });
        let answer = http::post(
            cluster.entry_addr(0),
            "/v1/chat/completions",
            &cluster.team_token,
            &body,
        );
        assert_eq!(answer.status, 200, "{}", answer.text());
        ids.push(
            answer
                .header("x-quetzalworks-request-id")
                .unwrap()
                .to_owned(),
        );
    }
    let records = |id: &String| -> Vec<UsageRecord> {
        let records = cluster.log.records(Stream::Usage).into_iter();
        records
            .filter(|record| record["request"] == **id)
            .map(|record| serde_json::from_value(record).unwrap())
            .collect()
    };
    wait::until("each answer has a usage record", || {
        ids.iter().all(|id| !records(id).is_empty())
    });
    for id in &ids {
        let records = records(id);
        assert_eq!(records.len(), 1);
        assert_eq!(records[0].usage.output, Tokens(3));
        assert_eq!(records[0].result, None);
        assert!(records[0].cost > MicroCost(0));
    }
}

/// Guards against work that is not billed because its caller cancelled the request.
#[test]
fn a_cancelled_answer_is_billed() {
    let cluster = Cluster::start(1, 1);
    let body = json!({
        "model": "chat", "stream": true, "max_tokens": 100_000,
        "messages": [{ "role": "user", "content": "for ever" }],
    })
    .to_string();
    let mut caller = TcpStream::connect(cluster.entry_addr(0)).unwrap();
    write!(
        caller,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n{body}",
        cluster.team_token,
        body.len()
    )
    .unwrap();
    let mut buf = [0; 4_096];
    assert!(caller.read(&mut buf).unwrap() > 0);
    drop(caller);
    let cancelled = || {
        let mut records = cluster.log.records(Stream::Usage).into_iter();
        records.find(|record| record["result"] == "cancelled")
    };
    wait::until("the cancelled answer has a usage record", || {
        cancelled().is_some()
    });
    let record: UsageRecord = serde_json::from_value(cancelled().unwrap()).unwrap();
    assert!(record.usage.prompt > Tokens(0));
    assert!(record.usage.output < Tokens(100_000));
    assert!(record.cost > MicroCost(0));
}
