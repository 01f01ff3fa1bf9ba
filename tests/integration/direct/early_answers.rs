//! Answers that a faulty endpoint sends before it has read the request, with an odd status, or
//! not to the end of their head.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use hyper::Method;
use serde_json::json;

use crate::direct::endpoint::Endpoint;
use crate::direct::site::Site;
use crate::direct::world::config;
use crate::testing::isolation;

/// What the endpoint does with each request.
#[derive(Clone, Copy)]
struct Script {
    /// Bytes of the body that it reads before it answers; `None` reads all.
    read: Option<usize>,
    /// Time from there to the answer, and from the answer to the end of the connection.
    pauses: [Duration; 2],
    /// What it sends, with the id of the request for `{id}`. It closes the connection after
    /// it, which resets it where a part of the request was not read.
    answer: &'static str,
}

struct Case {
    name: &'static str,
    script: Script,
}

/// Large enough that the request is still being written when the answer arrives.
const UPLOAD: usize = 6 * 1_024 * 1_024;

const SHORT: Duration = Duration::from_millis(1);
const LONG: Duration = Duration::from_millis(80);

/// Guards against a part of an answer that the caller gets as a whole one.
#[test]
fn a_part_of_an_answer_is_never_passed_on_as_whole() {
    let unframed = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n\r\npart of the body";
    let early = |name, read, pauses| Case {
        name,
        script: Script {
            read: Some(read),
            pauses,
            answer: unframed,
        },
    };
    let whole = |name, answer| Case {
        name,
        script: Script {
            read: None,
            pauses: [SHORT, SHORT],
            answer,
        },
    };
    let cases = [
        early("reset at once", 0, [Duration::ZERO, Duration::ZERO]),
        early(
            "reset a moment after the answer",
            0,
            [Duration::ZERO, SHORT],
        ),
        early("reset long after the answer", 0, [Duration::ZERO, LONG]),
        early(
            "answered in the middle, reset at once",
            100_000,
            [LONG, Duration::ZERO],
        ),
        early("answered in the middle, reset later", 100_000, [LONG, LONG]),
        early("answered near the end", UPLOAD - 1, [SHORT, SHORT]),
        whole(
            "status 000",
            "HTTP/1.1 000 Odd\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok",
        ),
        whole(
            "status 099",
            "HTTP/1.1 099 Odd\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok",
        ),
        whole(
            "status 20",
            "HTTP/1.1 20 Odd\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok",
        ),
        whole(
            "an interim status and no more",
            "HTTP/1.1 101 Odd\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n\r\nok",
        ),
        whole("ends in the status line", "HTTP/1.1 200"),
        whole(
            "ends in the name of a header",
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Le",
        ),
        whole(
            "ends in the value of a header",
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 1",
        ),
        whole(
            "ends after a header",
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 10\r\n",
        ),
        whole(
            "ends before the blank line is whole",
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n\r",
        ),
    ];
    for case in &cases {
        check(case);
    }
}

fn check(case: &Case) {
    let addr = isolation::free_addr();
    let listener = TcpListener::bind(addr).unwrap();
    let script = case.script;
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            thread::spawn(move || serve(&tcp, script));
        }
    });
    let endpoint = Endpoint::at("odd", addr);
    let mut config = config(1);
    config["Limits"]["MaxBodyBytes"] = json!(2 * UPLOAD);
    let site = Site::with_config(&[("desk", &endpoint), ("writer", &endpoint)], &config);
    let body = vec![b'u'; UPLOAD];
    // One route for each kind: may run once, may be repeated, and a stream.
    for (kind, path) in ["/hold/x", "/look/x", "/chat/x"].iter().enumerate() {
        for n in 0..4 {
            let id = format!("a-{kind}-{n}");
            let answer = site.call_with_body(&Method::POST, path, &id, &body);
            let Ok(answer) = answer else { continue };
            let is_own_failure = answer.status >= 400 && answer.header("server-seal").is_none();
            assert!(is_own_failure, "{}, {path}: {answer:?}", case.name);
        }
    }
}

fn serve(mut tcp: &TcpStream, script: Script) {
    let mut reader = BufReader::with_capacity(1_024, tcp.try_clone().unwrap());
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if !reader.read_line(&mut line).is_ok_and(|read| read > 0) {
            return;
        }
        if line == "\r\n" {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        match name.to_ascii_lowercase().as_str() {
            "attempt-id" => value.trim().clone_into(&mut id),
            "content-length" => length = value.trim().parse().unwrap(),
            _ => {}
        }
    }
    let wanted = script.read.unwrap_or(length).min(length);
    let mut body = reader.take(wanted as u64);
    let _ = std::io::copy(&mut body, &mut std::io::sink());
    thread::sleep(script.pauses[0]);
    let _ = tcp.write_all(script.answer.replace("{id}", &id).as_bytes());
    thread::sleep(script.pauses[1]);
}
