//! Copies of usage records beside an endpoint.

use std::time::{Duration, Instant};

use quetzalworks::admission::UsageCopies;
use quetzalworks::attempt::Usage;
use quetzalworks::billing::UsageRecord;
use quetzalworks::ids::RequestId;
use quetzalworks::units::{MicroCost, Millis, Tokens};

fn record(id: u128, cost: u64) -> UsageRecord {
    UsageRecord {
        request: RequestId(id),
        team: "red".parse().unwrap(),
        profile: None,
        service: None,
        class: None,
        usage: Usage {
            prompt: Tokens(0),
            output: Tokens(cost),
        },
        cost: MicroCost(cost),
        result: None,
        ended_at: Millis(0),
        written_by: "vm-1".parse().unwrap(),
        attempts: Vec::new(),
    }
}

/// Guards against requests that are never billed, and against an append for a request whose
/// record is durable.
#[test]
fn copies_are_due_after_a_minute() {
    struct Case {
        name: &'static str,
        /// Copies held: request, second and cost.
        held: &'static [(u128, u64, u64)],
        confirmed: &'static [u128],
        /// Copies that are due after 60 s: request and cost.
        due: &'static [(u128, u64)],
    }
    let cases = [
        Case {
            name: "oldest first, recent ones not yet",
            held: &[(2, 0, 5), (1, 0, 6), (3, 1, 7)],
            confirmed: &[],
            due: &[(2, 5), (1, 6)],
        },
        Case {
            name: "confirmed",
            held: &[(1, 0, 5), (2, 0, 6)],
            confirmed: &[1, 9],
            due: &[(2, 6)],
        },
        Case {
            name: "attempts at one request are one record",
            held: &[(1, 0, 5), (1, 30, 6)],
            confirmed: &[],
            due: &[(1, 11)],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut copies = UsageCopies::new(8);
        for (id, second, cost) in case.held {
            copies.hold(record(*id, *cost), start + Duration::from_secs(*second));
        }
        let confirmed: Vec<RequestId> = case.confirmed.iter().map(|id| RequestId(*id)).collect();
        copies.confirm(&confirmed);
        let due = |max, second| -> Vec<(u128, u64)> {
            copies
                .overdue(max, start + Duration::from_secs(second))
                .iter()
                .map(|record| (record.request.0, record.cost.0))
                .collect()
        };
        assert_eq!(due(9, 60), case.due, "{}", case.name);
        assert_eq!(due(1, 60), case.due[..1], "{}", case.name);
        assert_eq!(due(9, 59), [], "{}", case.name);
    }
}

/// Guards against a copy that counts as old because an earlier one of the same request was,
/// and against requests accepted without room for their records.
#[test]
fn the_table_is_bounded() {
    let start = Instant::now();
    let later = start + Duration::from_secs(50);
    let mut copies = UsageCopies::new(8);
    copies.hold(record(9, 1), start);
    copies.hold(record(1, 1), start);
    copies.confirm(&[RequestId(1)]);
    copies.hold(record(1, 2), later);
    assert_eq!(copies.overdue(9, start + Duration::from_mins(1)).len(), 1);
    for id in 2..=5 {
        copies.hold(record(id, 1), start);
    }
    assert!(!copies.is_nearly_full(), "{} of 8", copies.len());
    copies.hold(record(6, 1), start);
    assert!(copies.is_nearly_full(), "{} of 8", copies.len());
}
