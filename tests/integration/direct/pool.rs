//! Connections to endpoints.

use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use quetzalworks::http::{Client, ClientLimits, HttpError};
use quetzalworks::units::Bytes;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::testing::{http, place, wait};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against an abandoned answer that keeps its endpoint at work.
#[test]
fn a_dropped_answer_closes_its_connection() {
    let listener = TcpListener::bind(place::addr()).unwrap();
    let client = Client::new(listener.local_addr().unwrap(), http::traffic());
    let asked = http::traffic().spawn(async move {
        let req = Request::new(Full::default());
        client
            .send(req, Duration::from_millis(200))
            .await
            .map(|_| ())
    });
    let (mut tcp, _) = listener.accept().unwrap();
    tcp.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(smol::block_on(asked), Err(HttpError::TimedOut));
    let mut head = Vec::new();
    tcp.read_to_end(&mut head).unwrap();
    assert!(head.starts_with(b"GET / HTTP/1.1"));
}

/// Guards against more connections than the endpoint accepts, and against
/// places that are lost with failed exchanges.
#[test]
fn connections_are_limited_and_given_back() {
    let endpoint = Endpoint::spawn("a", &[Behaviour::Close], Behaviour::Answer(200, "good"));
    let limits = ClientLimits {
        max_connections: 1,
        ..ClientLimits::default()
    };
    let client = Client::with_limits(endpoint.addr, http::traffic(), limits);
    let send = || smol::block_on(client.send(Request::new(Full::default()), TIMEOUT));
    assert!(matches!(send(), Err(HttpError::Broken(_))));
    let held = send().unwrap();
    assert!(
        matches!(send(), Err(HttpError::NotSent(_))),
        "the limit is reached"
    );
    drop(held);
    wait::until("the place is free again", || {
        send().is_ok_and(|answer| smol::block_on(answer.bytes(Bytes(100))).is_ok())
    });
    let again = send().unwrap();
    assert_eq!(smol::block_on(again.bytes(Bytes(100))).unwrap(), "good");
    assert!(
        endpoint.received().len() >= 4,
        "the connection is used again"
    );
}
