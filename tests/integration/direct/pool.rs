//! Pooled connections to endpoints.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use quetzalworks::http::{Client, ClientLimits, HttpError};
use quetzalworks::units::Bytes;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::testing::{http, isolation, wait};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against an endpoint that keeps working on a request that was abandoned.
#[test]
fn abandoned_request_closes_its_connection() {
    let listener = TcpListener::bind(isolation::free_addr()).unwrap();
    let client = Client::new(listener.local_addr().unwrap(), http::traffic());
    let response = http::traffic().spawn(async move {
        let req = Request::new(Full::default());
        client
            .send(req, Duration::from_millis(200))
            .await
            .map(|_| ())
    });
    let (mut tcp, _) = listener.accept().unwrap();
    tcp.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(smol::block_on(response), Err(HttpError::TimedOut));
    let mut head = Vec::new();
    tcp.read_to_end(&mut head).unwrap();
    assert!(head.starts_with(b"GET / HTTP/1.1"));
}

/// Guards against a status query or an order that waits for ever, since its time limit
/// held for the head of the answer only.
#[test]
fn a_fetch_ends_with_its_time_limit() {
    struct Case {
        name: &'static str,
        answer: &'static str,
        result: Result<&'static str, HttpError>,
    }
    let cases = [
        Case {
            name: "complete",
            answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
            result: Ok("good"),
        },
        Case {
            name: "stalls before the head",
            answer: "",
            result: Err(HttpError::TimedOut),
        },
        Case {
            name: "stalls in the body",
            answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngo",
            result: Err(HttpError::TimedOut),
        },
        Case {
            name: "larger than the limit",
            answer: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\ngood or bad?",
            result: Err(HttpError::TooLarge),
        },
    ];
    for case in cases {
        let listener = TcpListener::bind(isolation::free_addr()).unwrap();
        let client = Client::new(listener.local_addr().unwrap(), http::traffic());
        let fetched = http::traffic().spawn(async move {
            let req = Request::new(Full::default());
            let fetch = client.fetch(req, Bytes(8), Duration::from_millis(500));
            fetch.await.map(|(_, body)| body)
        });
        let (mut tcp, _) = listener.accept().unwrap();
        // The client takes an answer before its request for an error of the connection.
        assert!(tcp.read(&mut [0; 1_024]).unwrap() > 0);
        tcp.write_all(case.answer.as_bytes()).unwrap();
        let fetched = smol::block_on(fetched);
        let expected = case.result.map(|text| text.as_bytes().into());
        assert_eq!(fetched, expected, "{}", case.name);
    }
}

/// Guards against more connections than the endpoint accepts, and against slots that are
/// not released after failed exchanges.
#[test]
fn connection_limit_holds_and_slots_are_released() {
    let endpoint = Endpoint::spawn("a", &[Behaviour::Close], Behaviour::Answer(200, "good"));
    let limits = ClientLimits {
        max_connections: 1,
        ..ClientLimits::default()
    };
    let client = Client::with_limits(endpoint.addr, http::traffic(), limits);
    let send = || smol::block_on(client.send(Request::new(Full::default()), TIMEOUT));
    assert!(matches!(send(), Err(HttpError::Broken(_))));
    let in_use = send().unwrap();
    assert!(
        matches!(send(), Err(HttpError::NotSent(_))),
        "the connection limit is reached"
    );
    drop(in_use);
    wait::until("the slot is free again", || {
        send().is_ok_and(|answer| smol::block_on(answer.bytes(Bytes(100))).is_ok())
    });
    let again = send().unwrap();
    assert_eq!(smol::block_on(again.bytes(Bytes(100))).unwrap(), "good");
    assert!(
        endpoint.received().len() >= 4,
        "the endpoint gets further requests"
    );
}
