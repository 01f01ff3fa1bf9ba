//! Calls of plain services: which are repeated, and what the caller is told.

use std::time::Duration;

use hyper::Method;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::testing::place;

/// A call, how two endpoints behave one after the other, and what comes of it.
struct Case {
    name: &'static str,
    path: &'static str,
    /// What the endpoints do with the arrivals, whichever of them is asked.
    first: Behaviour,
    second: Behaviour,
    status: u16,
    body: Option<&'static str>,
    arrivals: usize,
}

const HOLD: &str = "/hold/a";
const LOOK: &str = "/look/a?b=c";

fn cases() -> Vec<Case> {
    use Behaviour::{
        Answer, Busy, Close, Crossed, NotRun, Silent, Slow, Truncated, Twice, Unsigned,
    };
    let good = Answer(200, "good");
    let case = |name, path, first, status, body, arrivals| Case {
        name,
        path,
        first,
        second: good.clone(),
        status,
        body,
        arrivals,
    };
    vec![
        case("answered", HOLD, good.clone(), 200, Some("good"), 1),
        case("not run: sent on", HOLD, NotRun, 200, Some("good"), 2),
        case("closed: unknown", HOLD, Close, 502, None, 1),
        case("truncated: unknown", HOLD, Truncated, 502, None, 1),
        case(
            "answer to another request: unknown",
            HOLD,
            Crossed,
            502,
            None,
            1,
        ),
        case("unsigned: unknown", HOLD, Unsigned, 502, None, 1),
        case(
            "busy without the mark may have run",
            HOLD,
            Busy,
            502,
            None,
            1,
        ),
        case(
            "the endpoint's failure is passed on",
            HOLD,
            Answer(500, "bad"),
            500,
            Some("bad"),
            1,
        ),
        case("silent until the time is over", HOLD, Silent, 504, None, 1),
        case(
            "a slow one is waited for",
            HOLD,
            Slow(Duration::from_millis(900), "late"),
            200,
            Some("late"),
            1,
        ),
        case(
            "two answers: the first counts",
            HOLD,
            Twice,
            200,
            Some("once"),
            1,
        ),
        case("closed: repeated", LOOK, Close, 200, Some("good"), 2),
        case("truncated: repeated", LOOK, Truncated, 200, Some("good"), 2),
        case("crossed: repeated", LOOK, Crossed, 200, Some("good"), 2),
        case("unsigned: repeated", LOOK, Unsigned, 200, Some("good"), 2),
        case("busy: repeated", LOOK, Busy, 200, Some("good"), 2),
        case(
            "a failure is repeated",
            LOOK,
            Answer(500, "bad"),
            200,
            Some("good"),
            2,
        ),
        case(
            "silent: another one is asked in time",
            LOOK,
            Silent,
            200,
            Some("good"),
            2,
        ),
        Case {
            second: Answer(500, "worse"),
            ..case(
                "at most two endpoints",
                LOOK,
                Answer(500, "bad"),
                500,
                Some("worse"),
                2,
            )
        },
        Case {
            second: NotRun,
            ..case("all refuse as not run", HOLD, NotRun, 503, None, 2)
        },
    ]
}

/// Guards against a call that runs twice, a refusal that promises too much, a
/// repeat that was possible and not made, and an answer that is not whole.
#[test]
fn each_end_of_an_attempt_leads_to_a_true_answer() {
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

/// A header as the endpoint must get it.
struct Expected {
    header: &'static str,
    value: Option<&'static str>,
}

/// Guards against headers that callers must not set, and requests that change
/// on their way.
#[test]
fn a_request_is_passed_on_unchanged() {
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
        "the route's time is the shorter one: {left}"
    );
}

/// Guards against a connection that is used again after more came than one answer.
#[test]
fn an_extra_answer_reaches_nobody() {
    let desk = Endpoint::spawn(
        "desk-1",
        &[Behaviour::Twice],
        Behaviour::Answer(200, "good"),
    );
    let site = Site::spawn(&[("desk", &desk)]);
    assert_eq!(
        site.call(&Method::POST, HOLD, "id-1").unwrap().text(),
        "once"
    );
    let second = site.call(&Method::POST, LOOK, "id-2").unwrap();
    assert_eq!(second.text(), "good");
}

/// Guards against work that goes on for a caller that has left.
#[test]
fn a_caller_that_leaves_ends_the_work() {
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
    crate::testing::wait::until("the endpoint is told", || desk.left() == 1);
    assert_eq!(desk.received().len(), 1, "and nobody else is asked");
}

/// Guards against a request that is refused although an endpoint has room,
/// because many others cannot be reached: they bear no load by it.
#[test]
fn endpoints_that_cannot_be_reached_use_no_repeats_up() {
    const GONE: [&str; 8] = ["g1", "g2", "g3", "g4", "g5", "g6", "g7", "g8"];
    let gone = GONE.map(|id| Endpoint::at(id, place::addr()));
    let desk = Endpoint::spawn("z", &[], Behaviour::Answer(200, "good"));
    let mut endpoints: Vec<_> = gone.iter().map(|endpoint| ("desk", endpoint)).collect();
    endpoints.push(("desk", &desk));
    let site = Site::spawn(&endpoints);
    let answer = site.call(&Method::POST, "/hold/a", "id-1").unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (200, "good"));
    assert_eq!(desk.received().len(), 1);
}
