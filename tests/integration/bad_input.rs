//! Tests of malformed, oversized and stalled input from callers.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use hyper::body::{Bytes, Incoming};
use hyper::{Request, StatusCode};
use quetzalworks::http::{Handler, Reply, Server, streamed};
use quetzalworks::{settings, units};
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::spec::Spec;
use crate::testing::{http, isolation, raw, wait};

/// Expected reaction of the server.
#[derive(Debug)]
enum Outcome {
    /// The entry answers with this HTTP status and result code.
    WithCode(u16, u16),
    /// The HTTP library answers with this status and no result code.
    StatusOnly(u16),
    /// The entry closes the connection without an answer.
    Closed,
}

struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    outcome: Outcome,
}

fn case(name: &'static str, bytes: Vec<u8>, outcome: Outcome) -> Case {
    Case {
        name,
        bytes,
        outcome,
    }
}

fn with_header(size: usize) -> Vec<u8> {
    let filler = "a".repeat(size);
    format!("GET /v1/models HTTP/1.1\r\nhost: e\r\nconnection: close\r\nx-filler: {filler}\r\n\r\n")
        .into_bytes()
}

fn cases() -> Vec<Case> {
    let chat = |body: &[u8]| raw::chat("team-token", body);
    let deep = "[".repeat(100_000);
    let many = "x-a: b\r\n".repeat(500);
    vec![
        case(
            "not HTTP",
            b"hello\r\n\r\n".to_vec(),
            Outcome::StatusOnly(400),
        ),
        case(
            "other protocol",
            vec![0x16, 3, 1, 2, 0, 1, 0, 1, 0xff, 0xff],
            Outcome::StatusOnly(400),
        ),
        case(
            "head over the limit",
            with_header(17 * 1_024),
            Outcome::WithCode(431, 1_431),
        ),
        case(
            "huge head",
            with_header(4 * 1_024 * 1_024),
            Outcome::StatusOnly(431),
        ),
        case(
            "too many headers",
            format!("GET /v1/models HTTP/1.1\r\nhost: e\r\n{many}\r\n").into_bytes(),
            Outcome::StatusOnly(431),
        ),
        case(
            "not JSON",
            chat(b"{\"model\": chat}"),
            Outcome::WithCode(400, 1_400),
        ),
        case("empty body", chat(b""), Outcome::WithCode(400, 1_400)),
        case(
            "not UTF-8",
            chat(b"{\"model\":\"\xff\xfe\"}"),
            Outcome::WithCode(400, 1_400),
        ),
        case(
            "lone surrogate",
            chat(b"{\"model\":\"\\ud800\"}"),
            Outcome::WithCode(400, 1_400),
        ),
        case(
            "deep JSON",
            chat(deep.as_bytes()),
            Outcome::WithCode(400, 1_400),
        ),
        case(
            "wrong types",
            chat(b"{\"model\":7,\"messages\":{}}"),
            Outcome::WithCode(400, 1_400),
        ),
        case(
            "huge body",
            chat(&vec![b' '; 2 * 1_024 * 1_024]),
            Outcome::WithCode(413, 1_413),
        ),
        case(
            "unknown path",
            b"GET /../etc HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n".to_vec(),
            Outcome::WithCode(404, 1_405),
        ),
        case(
            "half a head",
            b"POST /v1/chat/comp".to_vec(),
            Outcome::Closed,
        ),
        case(
            "half a body",
            {
                let mut bytes = chat(&[b' '; 100]);
                bytes.truncate(bytes.len() - 50);
                bytes
            },
            Outcome::WithCode(408, 1_408),
        ),
    ]
}

/// Guards against input that ends the process, is answered without a result code
/// where one is possible, or keeps a connection open for ever.
#[test]
fn bad_requests_are_refused() {
    let cluster = Cluster::start(1, 1);
    let addr = cluster.entry_addr(0);
    // All requests are sent at once, since each slow one is refused only after
    // the time limit.
    let open: Vec<(Case, TcpStream)> = cases()
        .into_iter()
        .map(|case| {
            let tcp = raw::open(addr, &case.bytes);
            (case, tcp)
        })
        .collect();
    for (case, tcp) in open {
        let answer = raw::read_to_close(tcp);
        let head = |status: u16| format!("HTTP/1.1 {status}");
        let as_expected = match case.outcome {
            Outcome::WithCode(status, number) => {
                answer.starts_with(&head(status))
                    && answer.contains(&format!("\"number\":{number}"))
            }
            Outcome::StatusOnly(status) => answer.starts_with(&head(status)),
            Outcome::Closed => answer.is_empty(),
        };
        assert!(
            as_expected,
            "{}: {:?}, got {answer:?}",
            case.name, case.outcome
        );
    }
    assert_still_answers(addr, &cluster.team_token);
}

fn assert_still_answers(addr: SocketAddr, token: &str) {
    let body = json!({ "model": "chat", "max_tokens": 1, "messages": [{ "role": "user", "content": "hello" }] });
    assert_eq!(
        http::post(addr, "/v1/chat/completions", token, &body).status,
        200
    );
}

/// Limit on connections in the test's settings, low enough that connecting takes
/// far less time than that after which idle connections are closed.
const MAX_CONNECTIONS: usize = 200;

/// Guards against idle connections that keep other callers out, and against more open
/// connections than the limit allows.
#[test]
fn connections_over_the_limit_close_the_longest_idle() {
    let limits =
        json!({ "limits": { "max_connections": MAX_CONNECTIONS, "send_timeout_ms": 60_000 } });
    let cluster = Cluster::start_spec(Spec {
        engines: 1,
        entry: limits,
        ..Spec::default()
    });
    let addr = cluster.entry_addr(0);
    let held: Vec<TcpStream> = (0..2 * MAX_CONNECTIONS)
        .map(|_| TcpStream::connect(addr).unwrap())
        .collect();
    let is_closed = |tcp: &TcpStream| {
        tcp.set_nonblocking(true).unwrap();
        !tcp.peek(&mut [0])
            .is_err_and(|err| err.kind() == ErrorKind::WouldBlock)
    };
    wait::until("no more are open than allowed", || {
        held.iter().filter(|tcp| !is_closed(tcp)).count() <= MAX_CONNECTIONS
    });
    let (oldest, newest) = held.split_at(MAX_CONNECTIONS);
    assert!(oldest.iter().all(is_closed), "an older one is open");
    assert!(!newest.iter().any(is_closed), "a newer one is closed");
    let body = http::try_get(addr, "/v1/models", &cluster.team_token);
    assert!(body.is_ok_and(|answer| answer.status == 200), "not served");
    drop(held);
    wait::until("callers are served again", || {
        http::try_get(addr, "/v1/models", &cluster.team_token).is_ok_and(|a| a.status == 200)
    });
}

/// A handler whose answer never ends.
struct Endless;

impl Handler for Endless {
    async fn handle(&self, _: Request<Incoming>) -> Reply {
        let (tx, rx) = smol::channel::bounded(1);
        let chunk = Bytes::from(vec![b' '; 65_536]);
        let send = async move { while tx.send(chunk.clone()).await.is_ok() {} };
        http::traffic().spawn(send).detach();
        streamed(StatusCode::OK, "text/plain", rx)
    }
}

/// Guards against a caller that stops reading its answer and occupies a connection for ever.
#[test]
fn a_caller_that_stops_reading_is_disconnected() {
    let limits = settings::Limits {
        send_timeout_ms: units::Millis(200),
        ..settings::Limits::default()
    };
    let traffic = http::traffic();
    let server = Server::bind(isolation::free_addr(), limits, &traffic, Arc::new(Endless));
    let server = smol::block_on(server).unwrap();
    let tcp = raw::open(server.addr(), b"GET / HTTP/1.1\r\nhost: e\r\n\r\n");
    wait::until("the answer begins", || {
        tcp.peek(&mut [0]).is_ok_and(|n| n == 1)
    });
    wait::until("the connection ends", || server.active() == 0);
}
