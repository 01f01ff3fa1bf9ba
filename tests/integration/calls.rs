//! At-most-once execution of non-idempotent calls.

use std::collections::HashSet;
use std::time::Instant;

use arbtest::arbitrary;
use quetzalworks::calls::{
    CallRecord, Claim, ClaimOutcome, Key, KeyAge, Ledger, Outcome, Ran, RecordEffect,
    RecordedAnswer, RecordedBody,
};
use quetzalworks::ids::{CallId, Digest, Generation, Incarnation, Offset, RequestId};
use quetzalworks::units::Millis;
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::{http, wait};

/// Version 7 UUID created at 2024-05-01T00:00:00Z.
const DATED: &str = "018f3175-6800-7000-8000-000000000001";
const CREATED_AT_MS: u64 = 0x018f_3175_6800;
const HOUR_MS: u64 = 3_600_000;

/// Guards against one key that is read as two, and against a key that counts as current
/// although its claim may have left the log.
#[test]
fn keys_are_read_and_dated() {
    struct Case {
        text: &'static str,
        /// The same key without quotes; `None` if the value is invalid or has no such form.
        plain: Option<&'static str>,
        now: u64,
        age: KeyAge,
    }
    let case = |text, plain, now, age| Case {
        text,
        plain,
        now,
        age,
    };
    let cases = [
        case("\"k-1\"", Some("k-1"), 0, KeyAge::Undated),
        case(" \"k-1\" ", Some("k-1"), 0, KeyAge::Undated),
        case("\"k-1\";v=1", Some("k-1"), 0, KeyAge::Undated),
        case("k-1", Some("k-1"), 0, KeyAge::Undated),
        case("\"a\\\\b\"", None, 0, KeyAge::Undated),
        case("", None, 0, KeyAge::Undated),
        case("\"\"", None, 0, KeyAge::Undated),
        case("\"open", None, 0, KeyAge::Undated),
        case("\"a\" b", None, 0, KeyAge::Undated),
        case("a\"b", None, 0, KeyAge::Undated),
        case("\"a\\n\"", None, 0, KeyAge::Undated),
        case("k\u{e4}", None, 0, KeyAge::Undated),
        case(DATED, Some(DATED), CREATED_AT_MS, KeyAge::Current),
        case(
            DATED,
            Some(DATED),
            CREATED_AT_MS + 24 * HOUR_MS,
            KeyAge::Current,
        ),
        case(
            DATED,
            Some(DATED),
            CREATED_AT_MS + 24 * HOUR_MS + 1,
            KeyAge::Expired,
        ),
        case(DATED, Some(DATED), CREATED_AT_MS - HOUR_MS, KeyAge::Current),
        case(
            DATED,
            Some(DATED),
            CREATED_AT_MS - HOUR_MS - 1,
            KeyAge::Ahead,
        ),
    ];
    let call = |key: &Key| key.call(&"red".parse().unwrap(), &"holds".parse().unwrap());
    for case in cases {
        let key = case.text.parse::<Key>().ok();
        let Some(plain) = case.plain else {
            // An escaped backslash is valid, but has no plain form.
            let escaped = case.text.contains("\\\\");
            assert_eq!(key.is_some(), escaped, "{:?}", case.text);
            continue;
        };
        let key = key.expect(case.text);
        assert_eq!(call(&key), call(&plain.parse().unwrap()), "{:?}", case.text);
        assert_eq!(key.age(Millis(case.now)), case.age, "{:?}", case.text);
    }
    let long = "k".repeat(129);
    assert!(long.parse::<Key>().is_err());
}

fn claim(call: u128, generation: u32, request: u128, body: u8) -> CallRecord {
    CallRecord::Claim(Claim {
        call: CallId(call),
        body: Digest::of(&[body]),
        request: RequestId(request),
        entry: "entry-0".parse().unwrap(),
        vm: "endpoint-0".parse().unwrap(),
        incarnation: Incarnation(1),
        generation: Generation(generation),
    })
}

fn outcome(call: u128, generation: u32, request: u128, answered: bool) -> CallRecord {
    let answer = RecordedAnswer {
        status: 200,
        content_type: None,
        body: RecordedBody::Text("ok".into()),
    };
    CallRecord::Outcome(Outcome {
        call: CallId(call),
        generation: Generation(generation),
        request: RequestId(request),
        ran: if answered {
            Ran::Answered(answer)
        } else {
            Ran::Never
        },
    })
}

/// Guards against a call that is executed twice because a losing claim counts as the
/// winner, and against an outcome that ends another request's claim.
#[test]
fn the_first_claim_of_a_generation_wins() {
    struct Case {
        name: &'static str,
        records: Vec<CallRecord>,
        last: RecordEffect,
        end: Option<ClaimOutcome>,
    }
    let cases = [
        Case {
            name: "first",
            records: vec![claim(1, 1, 1, 0)],
            last: RecordEffect::Won,
            end: None,
        },
        Case {
            name: "second of a race",
            records: vec![claim(1, 1, 1, 0), claim(1, 1, 2, 0)],
            last: RecordEffect::Lost,
            end: None,
        },
        Case {
            name: "generation skipped",
            records: vec![claim(1, 2, 1, 0)],
            last: RecordEffect::Lost,
            end: None,
        },
        Case {
            name: "after a fence",
            records: vec![claim(1, 1, 1, 0), claim(1, 2, 2, 0)],
            last: RecordEffect::Won,
            end: None,
        },
        Case {
            name: "after an answer",
            records: vec![claim(1, 1, 1, 0), outcome(1, 1, 1, true), claim(1, 2, 2, 0)],
            last: RecordEffect::Lost,
            end: Some(ClaimOutcome::Answered(Offset(1))),
        },
        Case {
            name: "different body",
            records: vec![
                claim(1, 1, 1, 0),
                outcome(1, 1, 1, false),
                claim(1, 2, 2, 1),
            ],
            last: RecordEffect::Lost,
            end: Some(ClaimOutcome::NotExecuted),
        },
        Case {
            name: "outcome of the loser",
            records: vec![
                claim(1, 1, 1, 0),
                claim(1, 1, 2, 0),
                outcome(1, 1, 2, false),
            ],
            last: RecordEffect::Ignored,
            end: None,
        },
        Case {
            name: "outcome of an earlier generation",
            records: vec![claim(1, 1, 1, 0), claim(1, 2, 2, 0), outcome(1, 1, 1, true)],
            last: RecordEffect::Ignored,
            end: None,
        },
    ];
    for case in cases {
        let mut ledger = Ledger::default();
        let now = Instant::now();
        let verdicts: Vec<_> = case
            .records
            .iter()
            .zip(0..)
            .map(|(record, offset)| ledger.apply(Offset(offset), Some(record), now))
            .collect();
        assert_eq!(verdicts.last(), Some(&case.last), "{}", case.name);
        let end = ledger
            .current_claim(CallId(1))
            .and_then(|standing| standing.outcome);
        assert_eq!(end, case.end, "{}", case.name);
    }
}

fn any_record(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<CallRecord> {
    let (call, request) = (u.int_in_range(1..=2)?, u.int_in_range(1..=4)?);
    let generation = u.int_in_range(1..=3)?;
    if u.ratio(2, 3)? {
        Ok(claim(call, generation, request, u.int_in_range(0..=1)?))
    } else {
        Ok(outcome(call, generation, request, u.arbitrary()?))
    }
}

/// Guards against two winners of one generation, a winner after an answer, and readers of
/// one log that disagree because they read it in other pages.
#[test]
fn readers_of_a_log_agree() {
    arbtest::arbtest(|u| {
        // The seed sets a size of 64 KiB, enough for about 300 logs.
        while !u.is_empty() {
            let len = u.int_in_range(0..=40)?;
            let records: Vec<CallRecord> = (0..len)
                .map(|_| any_record(u))
                .collect::<arbitrary::Result<_>>()?;
            check_log(u, &records)?;
        }
        Ok(())
    })
    .seed(0x5eed_ca11_0001_0000)
    .run();
}

fn check_log(u: &mut arbitrary::Unstructured<'_>, records: &[CallRecord]) -> arbitrary::Result<()> {
    let now = Instant::now();
    let mut first = Ledger::default();
    let mut winners = HashSet::new();
    let mut answered = HashSet::new();
    for (record, offset) in records.iter().zip(0..) {
        let verdict = first.apply(Offset(offset), Some(record), now);
        match record {
            CallRecord::Claim(claim) if verdict == RecordEffect::Won => {
                assert!(winners.insert((claim.call, claim.generation)));
                assert!(!answered.contains(&claim.call));
            }
            CallRecord::Outcome(outcome) if verdict == RecordEffect::Recorded => {
                if matches!(outcome.ran, Ran::Answered(_)) {
                    answered.insert(outcome.call);
                }
            }
            _ => {}
        }
    }
    let mut second = Ledger::default();
    let mut next = 0;
    while next < records.len() {
        // Pages overlap, as after a retried read.
        let from = u.int_in_range(0..=next)?;
        next = u.int_in_range(next + 1..=records.len())?;
        for (record, offset) in records[from..next].iter().zip(from as u64..) {
            second.apply(Offset(offset), Some(record), now);
        }
    }
    for call in [CallId(1), CallId(2)] {
        assert_eq!(first.current_claim(call), second.current_claim(call));
    }
    Ok(())
}

struct RefusedCall {
    name: &'static str,
    method: hyper::Method,
    path: &'static str,
    key: Option<&'static str>,
    status: u16,
    code: u64,
}

fn refused_calls() -> Vec<RefusedCall> {
    let (get, post) = (hyper::Method::GET, hyper::Method::POST);
    let case = |name, method: &hyper::Method, path, key, status, code| RefusedCall {
        name,
        method: method.clone(),
        path,
        key,
        status,
        code,
    };
    vec![
        case(
            "unknown service",
            &post,
            "/v1/services/none/x",
            None,
            404,
            2004,
        ),
        case(
            "other team",
            &post,
            "/v1/services/closed/x",
            None,
            403,
            1403,
        ),
        case("no key", &post, "/v1/services/holds/x", None, 400, 2012),
        case(
            "undated key",
            &post,
            "/v1/services/holds/x",
            Some("\"k\""),
            400,
            2011,
        ),
        case(
            "expired key",
            &post,
            "/v1/services/holds/x",
            Some(DATED),
            410,
            2010,
        ),
        case(
            "malformed key",
            &post,
            "/v1/services/holds/x",
            Some("\"open"),
            400,
            1400,
        ),
        case(
            "no endpoint, at most once",
            &post,
            "/v1/services/loose/x",
            Some("k"),
            503,
            1506,
        ),
        case(
            "no endpoint, idempotent",
            &get,
            "/v1/services/holds?x=1",
            None,
            503,
            1506,
        ),
    ]
}

/// Guards against a call that is executed although its key or service does not allow it,
/// and against a refusal that is not a problem document.
#[test]
fn calls_that_must_not_be_executed_are_refused() {
    let cluster = Cluster::start(1, 1);
    let service =
        |teams: &[&str], keys| json!({ "service": { "teams": teams, "undated_keys": keys } });
    cluster.publish("services/closed", 0, service(&[], "refuse"));
    cluster.publish("services/holds", 0, service(&["red"], "refuse"));
    cluster.publish("services/loose", 0, service(&["red"], "accept"));
    let bearer = format!("Bearer {}", cluster.team_token);
    let send = |method: &hyper::Method, path, key: Option<&str>| {
        let mut headers = vec![("authorization", bearer.as_str())];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        http::send(cluster.entry_addr(0), method, path, &headers, b"{}").unwrap()
    };
    wait::until("services are in force", || {
        send(&hyper::Method::GET, "/v1/services/loose/x", None).status == 503
    });
    for case in refused_calls() {
        let answer = send(&case.method, case.path, case.key);
        assert_eq!(
            answer.status,
            case.status,
            "{}: {}",
            case.name,
            answer.text()
        );
        assert_eq!(answer.json()["code"], case.code, "{}", case.name);
        assert_eq!(answer.json()["not_run"], true, "{}", case.name);
        let content_type = answer.header("content-type");
        assert_eq!(
            content_type,
            Some("application/problem+json"),
            "{}",
            case.name
        );
        assert!(answer.header("x-quetzalworks-request-id").is_some());
    }
}
