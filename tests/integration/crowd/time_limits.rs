//! Time limits on heads and bodies that stop short.

use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use quetzalworks::http::{Handler, Reply, Server, full, read_request_body};
use quetzalworks::settings::Limits;
use quetzalworks::units::Millis;

use crate::testing::{http, isolation, raw};

/// A handler that reads the body.
struct Reader(Limits);

impl Handler for Reader {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let (head, body) = req.into_parts();
        match read_request_body(body, &head.extensions, self.0).await {
            Ok(_) => full(StatusCode::OK, "text/plain", "good"),
            Err(refusal) => {
                let status = StatusCode::from_u16(refusal.code.http_status()).unwrap();
                full(status, "text/plain", "")
            }
        }
    }
}

/// Guards against a head or a body that stops short and is kept for as long as an idle
/// connection, or as a body that progresses.
#[test]
fn heads_and_bodies_that_stop_short_are_ended() {
    struct Case {
        name: &'static str,
        bytes: &'static str,
        answer: &'static str,
    }
    let cases = [
        Case {
            name: "a head",
            bytes: "POST / HTTP/1.1\r\nhost: e\r\n",
            answer: "",
        },
        Case {
            name: "a body",
            bytes: "POST / HTTP/1.1\r\nhost: e\r\ncontent-length: 3\r\n\r\nab",
            answer: "HTTP/1.1 408",
        },
        Case {
            name: "a chunked body",
            bytes: "POST / HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n",
            answer: "HTTP/1.1 408",
        },
    ];
    let limits = Limits {
        send_timeout_ms: Millis(600_000),
        body_stall_ms: Millis(100),
        ..Limits::default()
    };
    let traffic = http::traffic();
    let server = Server::bind(
        isolation::free_addr(),
        limits,
        &traffic,
        Arc::new(Reader(limits)),
    );
    let server = smol::block_on(server).unwrap();
    server.set_head_time(Millis(100));
    let open: Vec<(Case, TcpStream)> = cases
        .into_iter()
        .map(|case| {
            let tcp = raw::open(server.addr(), case.bytes.as_bytes());
            (case, tcp)
        })
        .collect();
    let began = Instant::now();
    for (case, tcp) in open {
        let answer = raw::read_to_close(tcp);
        assert!(answer.starts_with(case.answer), "{}: {answer:?}", case.name);
        assert!(
            !case.answer.is_empty() || answer.is_empty(),
            "{}: {answer:?}",
            case.name
        );
        // Reads give up after a minute.
        assert!(began.elapsed() < Duration::from_secs(50), "{}", case.name);
    }
}
