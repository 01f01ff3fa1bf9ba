//! Requests with ambiguous length, and headers that only the router may set.

use hyper::Method;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::testing::raw;

/// A request within the body of another one, which must not be executed by itself.
const INNER: &str = "POST /hold/inner HTTP/1.1\r\nhost: example.test\r\nattempt-id: inner\r\n\
                     key: key-red\r\ncontent-length: 0\r\n\r\n";

/// Head of a call, to which each case adds headers and a body.
const HEAD: &str = "POST /hold/a HTTP/1.1\r\nhost: example.test\r\nattempt-id: outer\r\n\
                    key: key-red\r\nconnection: close\r\n";

/// Guards against request smuggling: a request hidden in another one that is executed.
#[test]
fn embedded_request_is_not_executed() {
    struct Case {
        name: &'static str,
        /// Headers and body after [`HEAD`].
        rest: String,
        /// Body with which the outer request arrives; `None` if it must not arrive.
        body: Option<String>,
    }
    let chunk = format!("{:x}\r\n{INNER}\r\n0\r\n\r\n", INNER.len());
    let cases = [
        Case {
            name: "content length",
            rest: format!("content-length: {}\r\n\r\n{INNER}", INNER.len()),
            body: Some(INNER.to_owned()),
        },
        Case {
            name: "chunked",
            rest: format!("transfer-encoding: chunked\r\n\r\n{chunk}"),
            body: Some(INNER.to_owned()),
        },
        Case {
            name: "chunked, with data after the last chunk",
            rest: format!("transfer-encoding: chunked\r\n\r\n0\r\n\r\n{INNER}"),
            body: Some(String::new()),
        },
        Case {
            name: "length shorter than the body",
            rest: format!("content-length: 4\r\n\r\nbody{INNER}"),
            body: Some("body".to_owned()),
        },
        Case {
            name: "two content lengths",
            rest: format!(
                "content-length: 0\r\ncontent-length: {}\r\n\r\n{INNER}",
                INNER.len()
            ),
            body: None,
        },
        Case {
            name: "content length with a sign",
            rest: format!("content-length: +{}\r\n\r\n{INNER}", INNER.len()),
            body: None,
        },
        Case {
            name: "unknown transfer encoding",
            rest: format!("transfer-encoding: cow\r\n\r\n{chunk}"),
            body: None,
        },
        Case {
            name: "chunked, but not as the last encoding",
            rest: format!("transfer-encoding: chunked, identity\r\n\r\n{chunk}"),
            body: None,
        },
        Case {
            name: "space before the colon",
            rest: format!("transfer-encoding : chunked\r\n\r\n{chunk}"),
            body: None,
        },
        Case {
            name: "folded header line",
            rest: format!("x-a: b\r\n transfer-encoding: chunked\r\n\r\n{chunk}"),
            body: None,
        },
    ];
    for case in cases {
        let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
        let site = Site::spawn(&[("desk", &desk)]);
        let tcp = raw::open(site.callers, format!("{HEAD}{}", case.rest).as_bytes());
        let response = raw::read_to_close(tcp);
        let received = desk.received();
        let ids: Vec<_> = received
            .iter()
            .map(|req| req.header("attempt-id"))
            .collect();
        let expected: &[_] = if case.body.is_some() {
            &[Some("outer")]
        } else {
            &[]
        };
        assert_eq!(ids, expected, "{}: {response}", case.name);
        let bodies = received
            .iter()
            .map(|req| String::from_utf8_lossy(&req.body));
        assert!(
            bodies.eq(case.body.iter().map(String::as_str)),
            "{}",
            case.name
        );
        assert!(
            !response.contains("HTTP/1.1 200") || case.body.is_some(),
            "{}: {response}",
            case.name
        );
        let after = site.call(&Method::POST, "/hold/a", "after").unwrap();
        assert_eq!(after.status, 200, "{}", case.name);
    }
}

/// Guards against forwarding both a content length and chunked encoding, of which two
/// parsers may choose a different one.
#[test]
fn content_length_with_chunked_encoding_is_not_forwarded() {
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Answer(200, "good"));
    let site = Site::spawn(&[("desk", &desk)]);
    let rest = format!("content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{INNER}");
    let response = raw::read_to_close(raw::open(site.callers, format!("{HEAD}{rest}").as_bytes()));
    for req in desk.received() {
        assert_eq!(req.header("attempt-id"), Some("outer"), "{response}");
        assert_eq!((req.header("transfer-encoding"), req.body.len()), (None, 0));
    }
}

/// Guards against callers that set headers reserved for the router, and against headers
/// of one connection that are forwarded on another.
#[test]
fn callers_cannot_set_router_headers() {
    struct Case {
        name: &'static str,
        headers: &'static [(&'static str, &'static str)],
        /// Name of a header and its expected value at the endpoint.
        expected: (&'static str, Option<&'static str>),
    }
    let cases = [
        Case {
            name: "team",
            headers: &[("tenant", "blue")],
            expected: ("tenant", Some("red")),
        },
        Case {
            name: "key",
            headers: &[],
            expected: ("key", None),
        },
        Case {
            name: "expected endpoint",
            headers: &[("expect-instance", "other")],
            expected: ("expect-instance", Some("desk-1")),
        },
        Case {
            name: "reservation of cache memory",
            headers: &[("hold", "1"), ("kv-from", "x")],
            expected: ("hold", None),
        },
        Case {
            name: "header named in `connection`",
            headers: &[("connection", "x-private"), ("x-private", "1")],
            expected: ("x-private", None),
        },
        Case {
            name: "team header named in `connection`",
            headers: &[("connection", "tenant")],
            expected: ("tenant", Some("red")),
        },
        Case {
            name: "unrelated header",
            headers: &[("x-other", "1")],
            expected: ("x-other", Some("1")),
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
        let (name, value) = case.expected;
        assert_eq!(received[0].header(name), value, "{}", case.name);
        let count = received[0]
            .head
            .to_lowercase()
            .matches(&format!("\n{name}:"))
            .count();
        assert_eq!(count, usize::from(value.is_some()), "{}", case.name);
    }
}
