//! Calls of services without a model: which are retried, and what the caller receives.

use std::time::Duration;

use hyper::Method;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::testing::isolation;

/// A call, how the endpoints treat its first and second attempt, and the expected result.
struct Case {
    name: &'static str,
    path: &'static str,
    /// Behaviour for the first and second request that arrives, at whichever endpoint.
    first: Behaviour,
    second: Behaviour,
    status: u16,
    body: Option<&'static str>,
    arrivals: usize,
}

/// Target on the non-idempotent route, whose calls are executed at most once.
const ONCE: &str = "/hold/a";
/// Target on the idempotent route, whose calls may be retried.
const RETRY: &str = "/look/a?b=c";

fn cases() -> Vec<Case> {
    use Behaviour::{
        Answer, Busy, Close, Crossed, NotRun, Silent, Slow, Truncated, Twice, Unsigned,
    };
    let success = Answer(200, "good");
    let case = |name, path, first, status, body, arrivals| Case {
        name,
        path,
        first,
        second: success.clone(),
        status,
        body,
        arrivals,
    };
    let mut cases = vec![
        case("answered", ONCE, success.clone(), 200, Some("good"), 1),
        case("not executed: retried", ONCE, NotRun, 200, Some("good"), 2),
        case("closed: outcome unknown", ONCE, Close, 502, None, 1),
        case("truncated: outcome unknown", ONCE, Truncated, 502, None, 1),
        case(
            "answer to another request: outcome unknown",
            ONCE,
            Crossed,
            502,
            None,
            1,
        ),
        case("unsigned: outcome unknown", ONCE, Unsigned, 502, None, 1),
        case(
            "busy without the not-executed mark: outcome unknown",
            ONCE,
            Busy,
            502,
            None,
            1,
        ),
        case(
            "the endpoint's failure is passed on",
            ONCE,
            Answer(500, "bad"),
            500,
            Some("bad"),
            1,
        ),
        case("silent until the deadline", ONCE, Silent, 504, None, 1),
        case(
            "slow answer before the deadline",
            ONCE,
            Slow(Duration::from_millis(900), "late"),
            200,
            Some("late"),
            1,
        ),
        case(
            "second answer is ignored",
            ONCE,
            Twice,
            200,
            Some("once"),
            1,
        ),
        case("closed: retried", RETRY, Close, 200, Some("good"), 2),
        case("truncated: retried", RETRY, Truncated, 200, Some("good"), 2),
        case("crossed: retried", RETRY, Crossed, 200, Some("good"), 2),
        case("unsigned: retried", RETRY, Unsigned, 200, Some("good"), 2),
        case("busy: retried", RETRY, Busy, 200, Some("good"), 2),
        case(
            "failure: retried",
            RETRY,
            Answer(500, "bad"),
            200,
            Some("good"),
            2,
        ),
        case(
            "silent: retried before the deadline",
            RETRY,
            Silent,
            200,
            Some("good"),
            2,
        ),
        Case {
            second: Answer(500, "worse"),
            ..case(
                "no third attempt",
                RETRY,
                Answer(500, "bad"),
                500,
                Some("worse"),
                2,
            )
        },
        Case {
            second: NotRun,
            ..case("not executed by both", ONCE, NotRun, 503, None, 2)
        },
    ];
    cases.extend(stale_refusals());
    cases
}

/// Cases in which an endpoint repeats the refusal of an earlier request.
fn stale_refusals() -> [Case; 3] {
    let case = |name, path, refusal, status, body, arrivals| Case {
        name,
        path,
        first: Behaviour::StaleNotRun(refusal),
        second: Behaviour::Answer(200, "good"),
        status,
        body,
        arrivals,
    };
    [
        case("not executed: outcome unknown", ONCE, 503, 502, None, 1),
        case("misdirected: outcome unknown", ONCE, 421, 502, None, 1),
        case("not executed: retried", RETRY, 503, 200, Some("good"), 2),
    ]
}

/// Guards against a call that is executed twice, a refusal that promises too much, a
/// possible retry that is not made, and an incomplete answer.
#[test]
fn attempt_outcomes_are_reported_truthfully() {
    for case in cases() {
        let script = std::sync::Arc::new(std::sync::Mutex::new(vec![case.second, case.first]));
        let a = Endpoint::shared("a", &script, Behaviour::NotRun);
        let b = Endpoint::shared("b", &script, Behaviour::NotRun);
        let site = Site::spawn(&[("desk", &a), ("desk", &b)]);
        let answer = site.call(&Method::POST, case.path, "id-1").unwrap();
        assert_eq!(
            answer.status,
            case.status,
            "{}: {}",
            case.name,
            answer.text()
        );
        if let Some(body) = case.body {
            assert_eq!(answer.text(), body, "{}", case.name);
            assert!(answer.header("server-seal").is_some(), "{}", case.name);
        } else {
            assert!(answer.header("server-seal").is_none(), "{}", case.name);
        }
        let arrivals = a.received().len() + b.received().len();
        assert_eq!(arrivals, case.arrivals, "{}", case.name);
    }
}

/// Expected value of a header at the endpoint; `None` if it must be absent.
struct Expected {
    header: &'static str,
    value: Option<&'static str>,
}

/// Guards against headers that callers must not set, and against requests that are
/// altered on the way.
#[test]
fn requests_are_forwarded_unchanged() {
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
    let site = Site::spawn(&[("desk", &desk)]);
    let headers = [
        ("key", "key-red"),
        ("tenant", "blue"),
        ("expect-instance", "other"),
        ("hold", "1"),
        ("pin-ms", "1"),
        ("kv-from", "1"),
        ("kv-backup", "1"),
        ("request-urgency", "0"),
        ("x-own", "kept"),
    ];
    let answer = site.call_with(&Method::POST, "/look/a?b=%20c", "id-1", &headers);
    assert_eq!(answer.unwrap().text(), "good");
    let received = &desk.received()[0];
    assert!(
        received
            .head
            .starts_with("POST /look/a?b=%20c HTTP/1.1\r\n"),
        "{}",
        received.head
    );
    assert_eq!(received.body, b"body of the request");
    let expected = [
        Expected {
            header: "host",
            value: Some("example.test"),
        },
        Expected {
            header: "attempt-id",
            value: Some("id-1"),
        },
        Expected {
            header: "tenant",
            value: Some("red"),
        },
        Expected {
            header: "expect-instance",
            value: Some("desk-1"),
        },
        Expected {
            header: "x-own",
            value: Some("kept"),
        },
        Expected {
            header: "key",
            value: None,
        },
        Expected {
            header: "hold",
            value: None,
        },
        Expected {
            header: "pin-ms",
            value: None,
        },
        Expected {
            header: "kv-from",
            value: None,
        },
        Expected {
            header: "kv-backup",
            value: None,
        },
        Expected {
            header: "request-urgency",
            value: None,
        },
    ];
    for expected in expected {
        assert_eq!(
            received.header(expected.header),
            expected.value,
            "{}",
            expected.header
        );
    }
    let left: u64 = received.header("deadline-ms").unwrap().parse().unwrap();
    assert!(
        (1..=2_000).contains(&left),
        "the route's time limit is the shorter one: {left} ms"
    );
}

/// Guards against reuse of a connection on which more than one answer arrived.
#[test]
fn surplus_answer_is_not_delivered() {
    let desk = Endpoint::spawn(
        "desk-1",
        &[Behaviour::Twice],
        Behaviour::Answer(200, "good"),
    );
    let site = Site::spawn(&[("desk", &desk)]);
    assert_eq!(
        site.call(&Method::POST, ONCE, "id-1").unwrap().text(),
        "once"
    );
    let second = site.call(&Method::POST, RETRY, "id-2").unwrap();
    assert_eq!(second.text(), "good");
}

/// Guards against an endpoint that keeps working after the caller has disconnected.
#[test]
fn caller_disconnect_cancels_the_work() {
    use std::io::Write;
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Silent);
    let site = Site::spawn(&[("desk", &desk)]);
    let mut tcp = std::net::TcpStream::connect(site.callers).unwrap();
    tcp.write_all(
        b"GET /look/a HTTP/1.1\r\nhost: example.test\r\nattempt-id: 1\r\nkey: key-red\r\n\r\n",
    )
    .unwrap();
    crate::testing::wait::until("the request has arrived", || desk.received().len() == 1);
    drop(tcp);
    crate::testing::wait::until("the router disconnects", || desk.abandoned_answers() == 1);
    assert_eq!(
        desk.received().len(),
        1,
        "no other endpoint gets the request"
    );
}

/// Guards against a refusal while an endpoint has capacity, because attempts at
/// unreachable endpoints used up the retry budget. They put no load on an endpoint.
#[test]
fn unreachable_endpoints_do_not_use_the_retry_budget() {
    const GONE: [&str; 8] = ["g1", "g2", "g3", "g4", "g5", "g6", "g7", "g8"];
    let gone = GONE.map(|id| Endpoint::at(id, isolation::free_addr()));
    let desk = Endpoint::spawn("z", &[], Behaviour::Answer(200, "good"));
    let mut endpoints: Vec<_> = gone.iter().map(|endpoint| ("desk", endpoint)).collect();
    endpoints.push(("desk", &desk));
    let site = Site::spawn(&endpoints);
    let answer = site.call(&Method::POST, "/hold/a", "id-1").unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (200, "good"));
    assert_eq!(desk.received().len(), 1);
}
