//! Calls to plain services, from callers through entries and sidecars.

use std::collections::HashSet;

use hyper::Method;
use quetzalworks::platform::Stream;
use quetzalworks::standin::ServiceCommand;
use quetzalworks::units::Millis;

use crate::testing::cluster::Cluster;
use crate::testing::spec::Spec;
use crate::testing::{http, wait};

struct Caller<'a> {
    cluster: &'a Cluster,
    bearer: String,
}

impl Caller<'_> {
    fn send(&self, entry: usize, method: &Method, key: Option<&str>, body: &str) -> http::Answer {
        let mut headers = vec![("authorization", self.bearer.as_str())];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        http::send(
            self.cluster.entry_addr(entry),
            method,
            "/v1/services/bookings/holds?x=1",
            &headers,
            body.as_bytes(),
        )
        .unwrap()
    }

    fn executions(&self, body: &str) -> u64 {
        let services = self.cluster.services.iter();
        services
            .filter_map(|service| service.executions().get(body).copied())
            .sum()
    }
}

/// Guards against a call that runs twice when its caller retries it, at another entry or
/// after a lost answer, and against a retry that gets another answer than the first
/// attempt.
#[test]
fn retried_calls_run_once() {
    struct Case {
        name: &'static str,
        lost_answers: u32,
        /// Key, body and entry of each call, with the expected status and result code.
        calls: &'static [(&'static str, &'static str, usize, u16, Option<u64>)],
        executed: &'static [(&'static str, u64)],
    }
    let cases = [
        Case {
            name: "retried at both entries",
            lost_answers: 0,
            calls: &[
                ("\"a\"", "a", 0, 201, None),
                ("a", "a", 0, 201, None),
                ("\"a\"", "a", 1, 201, None),
            ],
            executed: &[("a", 1)],
        },
        Case {
            name: "key reused with another body",
            lost_answers: 0,
            calls: &[
                ("\"b\"", "b", 0, 201, None),
                ("\"b\"", "b2", 1, 422, Some(2006)),
            ],
            executed: &[("b", 1), ("b2", 0)],
        },
        Case {
            name: "answer of the service lost",
            lost_answers: 1,
            calls: &[
                ("\"c\"", "c", 0, 502, Some(2008)),
                ("\"c\"", "c", 1, 502, Some(2008)),
            ],
            executed: &[("c", 1)],
        },
    ];
    let cluster = Cluster::start_spec(Spec {
        entries: 2,
        services: 2,
        ..Spec::default()
    });
    let caller = Caller {
        cluster: &cluster,
        bearer: format!("Bearer {}", cluster.team_token),
    };
    for entry in 0..2 {
        wait::until("idempotent calls are served", || {
            caller.send(entry, &Method::GET, None, "").status == 200
        });
    }
    for case in cases {
        for service in &cluster.services {
            service.control(ServiceCommand::LoseAnswers(case.lost_answers));
        }
        let mut answers = HashSet::new();
        for (key, body, entry, status, code) in case.calls {
            let answer = caller.send(*entry, &Method::POST, Some(key), body);
            let text = answer.text();
            assert_eq!(answer.status, *status, "{}: {text}", case.name);
            assert_eq!(answer.json()["code"].as_u64(), *code, "{}", case.name);
            if code.is_none() {
                answers.insert(text);
            }
        }
        assert!(answers.len() <= 1, "{}: {answers:?}", case.name);
        for (body, count) in case.executed {
            assert_eq!(caller.executions(body), *count, "{}", case.name);
        }
        for service in &cluster.services {
            service.control(ServiceCommand::LoseAnswers(0));
        }
    }
    wait::until("usage records of the calls", || {
        let records = cluster.log.records(Stream::Usage);
        let calls = records.iter().filter(|record| {
            record["service"] == "bookings" && !record["attempts"].as_array().unwrap().is_empty()
        });
        calls.count() >= 3
    });
}

/// Guards against concurrent calls with the same key that run more than once.
#[test]
fn concurrent_calls_run_once() {
    let cluster = Cluster::start_spec(Spec {
        entries: 2,
        services: 2,
        ..Spec::default()
    });
    let caller = Caller {
        cluster: &cluster,
        bearer: format!("Bearer {}", cluster.team_token),
    };
    for entry in 0..2 {
        wait::until("idempotent calls are served", || {
            caller.send(entry, &Method::GET, None, "").status == 200
        });
    }
    for service in &cluster.services {
        service.control(ServiceCommand::Delay(Millis(30)));
    }
    for round in 0..10 {
        let body = format!("round-{round}");
        let answers: Vec<_> = std::thread::scope(|scope| {
            let calls: Vec<_> = (0..6)
                .map(|i| {
                    let (caller, body) = (&caller, &body);
                    scope.spawn(move || caller.send(i % 2, &Method::POST, Some(body), body))
                })
                .collect();
            calls.into_iter().map(|call| call.join().unwrap()).collect()
        });
        for answer in &answers {
            let code = answer.json()["code"].as_u64();
            let expected = answer.status == 201 || matches!(code, Some(2007 | 2015));
            assert!(expected, "{}", answer.text());
        }
        wait::until("the call is answered", || {
            caller.send(0, &Method::POST, Some(&body), &body).status == 201
        });
        assert_eq!(caller.executions(&body), 1, "{body}");
    }
}
