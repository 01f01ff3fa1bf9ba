//! Requests whose end is in doubt, and headers that only the router may set.

use hyper::Method;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::testing::raw;

/// A request that must not run by itself: it is a part of another's body.
const INNER: &str = "POST /hold/inner HTTP/1.1\r\nhost: example.test\r\nattempt-id: inner\r\n\
                     key: key-red\r\ncontent-length: 0\r\n\r\n";

/// Head of a call, up to the headers of the case.
const HEAD: &str = "POST /hold/a HTTP/1.1\r\nhost: example.test\r\nattempt-id: outer\r\n\
                    key: key-red\r\nconnection: close\r\n";

/// Guards against a request that is hidden in another one.
#[test]
fn no_request_is_taken_out_of_another() {
    struct Case {
        name: &'static str,
        /// Headers and body after [`HEAD`].
        rest: String,
        /// Body with which the outer request may arrive; `None` where it must not.
        body: Option<String>,
    }
    let chunk = format!("{:x}\r\n{INNER}\r\n0\r\n\r\n", INNER.len());
    let cases = [
        Case {
            name: "plain length",
            rest: format!("content-length: {}\r\n\r\n{INNER}", INNER.len()),
            body: Some(INNER.to_owned()),
        },
        Case {
            name: "chunked",
            rest: format!("transfer-encoding: chunked\r\n\r\n{chunk}"),
            body: Some(INNER.to_owned()),
        },
        Case {
            name: "chunked, then more than it states",
            rest: format!("transfer-encoding: chunked\r\n\r\n0\r\n\r\n{INNER}"),
            body: Some(String::new()),
        },
        Case {
            name: "length shorter than the body",
            rest: format!("content-length: 4\r\n\r\nbody{INNER}"),
            body: Some("body".to_owned()),
        },
        Case {
            name: "two lengths",
            rest: format!(
                "content-length: 0\r\ncontent-length: {}\r\n\r\n{INNER}",
                INNER.len()
            ),
            body: None,
        },
        Case {
            name: "a length with a sign",
            rest: format!("content-length: +{}\r\n\r\n{INNER}", INNER.len()),
            body: None,
        },
        Case {
            name: "an encoding that is not known",
            rest: format!("transfer-encoding: cow\r\n\r\n{chunk}"),
            body: None,
        },
        Case {
            name: "chunked, but not at the end",
            rest: format!("transfer-encoding: chunked, identity\r\n\r\n{chunk}"),
            body: None,
        },
        Case {
            name: "a space before the colon",
            rest: format!("transfer-encoding : chunked\r\n\r\n{chunk}"),
            body: None,
        },
        Case {
            name: "a folded line",
            rest: format!("x-a: b\r\n transfer-encoding: chunked\r\n\r\n{chunk}"),
            body: None,
        },
    ];
    for case in cases {
        let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
        let site = Site::spawn(&[("desk", &desk)]);
        let tcp = raw::open(site.callers, format!("{HEAD}{}", case.rest).as_bytes());
        let told = raw::read_to_close(tcp);
        let received = desk.received();
        let ids: Vec<_> = received
            .iter()
            .map(|req| req.header("attempt-id"))
            .collect();
        let wanted: &[_] = if case.body.is_some() {
            &[Some("outer")]
        } else {
            &[]
        };
        assert_eq!(ids, wanted, "{}: {told}", case.name);
        let bodies = received
            .iter()
            .map(|req| String::from_utf8_lossy(&req.body));
        assert!(
            bodies.eq(case.body.iter().map(String::as_str)),
            "{}",
            case.name
        );
        assert!(
            !told.contains("HTTP/1.1 200") || case.body.is_some(),
            "{}: {told}",
            case.name
        );
        let after = site.call(&Method::POST, "/hold/a", "after").unwrap();
        assert_eq!(after.status, 200, "{}", case.name);
    }
}

/// Guards against a length beside chunks: one reader goes by the one, the next
/// one by the other.
#[test]
fn a_length_beside_chunks_is_not_passed_on() {
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
    let site = Site::spawn(&[("desk", &desk)]);
    let rest = format!("content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{INNER}");
    let told = raw::read_to_close(raw::open(site.callers, format!("{HEAD}{rest}").as_bytes()));
    for req in desk.received() {
        assert_eq!(req.header("attempt-id"), Some("outer"), "{told}");
        assert_eq!((req.header("transfer-encoding"), req.body.len()), (None, 0));
    }
}

/// Guards against callers that set what only the router may state, and against
/// headers of one connection that reach the next.
#[test]
fn routers_own_headers_are_not_the_callers() {
    struct Case {
        name: &'static str,
        headers: &'static [(&'static str, &'static str)],
        /// What arrives of a header.
        arrives: (&'static str, Option<&'static str>),
    }
    let cases = [
        Case {
            name: "team",
            headers: &[("tenant", "blue")],
            arrives: ("tenant", Some("red")),
        },
        Case {
            name: "key",
            headers: &[],
            arrives: ("key", None),
        },
        Case {
            name: "expected endpoint",
            headers: &[("expect-instance", "other")],
            arrives: ("expect-instance", Some("desk-1")),
        },
        Case {
            name: "memory set aside",
            headers: &[("hold", "1"), ("kv-from", "x")],
            arrives: ("hold", None),
        },
        Case {
            name: "a header that the connection names",
            headers: &[("connection", "x-private"), ("x-private", "1")],
            arrives: ("x-private", None),
        },
        Case {
            name: "the team, named as a header of the connection",
            headers: &[("connection", "tenant")],
            arrives: ("tenant", Some("red")),
        },
        Case {
            name: "any other header",
            headers: &[("x-other", "1")],
            arrives: ("x-other", Some("1")),
        },
    ];
    for case in cases {
        let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
        let site = Site::spawn(&[("desk", &desk)]);
        let mut headers = vec![("key", "key-red")];
        headers.extend_from_slice(case.headers);
        let answer = site.call_with(&Method::POST, "/hold/a", "id-1", &headers);
        assert_eq!(answer.unwrap().status, 200, "{}", case.name);
        let received = desk.received();
        let (name, value) = case.arrives;
        assert_eq!(received[0].header(name), value, "{}", case.name);
        let count = received[0]
            .head
            .to_lowercase()
            .matches(&format!("\n{name}:"))
            .count();
        assert_eq!(count, usize::from(value.is_some()), "{}", case.name);
    }
}
