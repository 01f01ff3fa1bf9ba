//! Crowds at a direct entry.

use std::fmt::Write;
use std::thread;
use std::time::Duration;

use hyper::Method;

use crate::crowd::client::{self, Crowd, Script};
use crate::crowd::site::{MAX_BODY, Site};
use crate::direct::endpoint::Behaviour;

/// Connections of a crowd that holds little on each, about as many as a process accepts.
const MANY: usize = 780;
/// Connections of a crowd that holds much on each.
const FEW: usize = 100;
/// Time after which idle connections give way to others, with some to spare.
const IDLE: Duration = Duration::from_millis(2_500);
/// Attempts of a caller with a large body; too few to find room by closing idle connections
/// that do not yield enough each time.
const BODY_ATTEMPTS: usize = 3;
/// Size of a chunk of a body sent in large chunks.
const CHUNK: usize = 64 * 1_024;

struct Case {
    name: &'static str,
    count: usize,
    script: Script,
    answer: Behaviour,
}

impl Case {
    fn new(name: &'static str, count: usize, script: Script) -> Self {
        Self {
            name,
            count,
            script,
            answer: Behaviour::Answer(200, "good"),
        }
    }

    fn check(self) {
        let mut site = Site::spawn(self.answer);
        let _crowd = Crowd::connect(site.callers, self.count, &self.script);
        site.check_ordinary(self.name);
        site.check_process(self.name);
    }
}

/// Returns the head of a request of a crowd, with further header lines.
fn head(method: &str, lines: &str) -> String {
    format!(
        "{method} /look/x HTTP/1.1\r\nhost: example.test\r\nattempt-id: crowd\r\n\
         deadline-ms: 60000\r\nkey: key-red\r\n{lines}\r\n"
    )
}

fn with_length(length: usize) -> String {
    head("POST", &format!("content-length: {length}\r\n"))
}

fn chunked() -> String {
    head("POST", "transfer-encoding: chunked\r\n")
}

/// Returns the head of a request without its end, of about `size` bytes.
fn endless_head(size: usize) -> String {
    let mut text = head("GET", "").trim_end().to_owned();
    let mut i = 0;
    while text.len() < size {
        write!(text, "\r\nx-{i}: {}", "a".repeat(1_000)).unwrap();
        i += 1;
    }
    text
}

#[test]
fn large_bodies_that_stop_short_leave_room() {
    let body = vec![b'x'; MAX_BODY - 1];
    let script = Script::whole(&with_length(MAX_BODY), &body);
    Case::new("large bodies", FEW, script).check();
}

#[test]
fn large_bodies_in_pieces_that_stop_short_leave_room() {
    let body = vec![b'x'; MAX_BODY - 1];
    let script = Script::in_pieces(&with_length(MAX_BODY), &body, MAX_BODY / 8);
    Case::new("large bodies in pieces", FEW, script).check();
}

#[test]
fn small_bodies_that_stop_short_leave_room() {
    let body = [b'x'; 14_999];
    let script = Script::whole(&with_length(15_000), &body);
    Case::new("small bodies", MANY, script).check();
}

#[test]
fn small_bodies_in_pieces_that_stop_short_leave_room() {
    let body = [b'x'; 14_999];
    let script = Script::in_pieces(&with_length(15_000), &body, 1_500);
    Case::new("small bodies in pieces", MANY, script).check();
}

#[test]
fn bodies_in_large_chunks_that_stop_short_leave_room() {
    let script = Script::whole(&chunked(), &client::chunks(CHUNK, 15));
    Case::new("large chunks", FEW, script).check();
}

#[test]
fn bodies_in_chunks_of_one_byte_that_stop_short_leave_room() {
    let script = Script::whole(&chunked(), &client::chunks(1, 16_000));
    Case::new("chunks of one byte", MANY, script).check();
}

#[test]
fn bodies_announced_over_the_limit_leave_room() {
    let script = Script::whole(&with_length(100 * MAX_BODY), &vec![b'x'; 2 * MAX_BODY]);
    Case::new("announced over the limit", FEW, script).check();
}

#[test]
fn bodies_sent_over_the_limit_leave_room() {
    let script = Script::whole(&chunked(), &client::chunks(CHUNK, 40));
    Case::new("sent over the limit", FEW, script).check();
}

#[test]
fn heads_without_end_leave_room() {
    let script = Script::whole(&endless_head(46_000), b"");
    Case::new("heads without end", MANY, script).check();
}

#[test]
fn heads_that_trickle_leave_room() {
    let text = endless_head(30_000);
    let script = Script::in_pieces("", text.as_bytes(), 1_500);
    Case::new("heads that trickle", MANY, script).check();
}

/// Guards against new connections that are dropped while others do nothing.
#[test]
fn more_idle_connections_than_are_accepted_leave_room() {
    let script = Script::whole("", b"");
    Case::new("idle connections", MANY + 120, script).check();
}

#[test]
fn pipelined_requests_leave_room() {
    let requests = head("GET", "").repeat(200);
    let script = Script::whole(&requests, b"");
    Case::new("pipelined requests", FEW, script).check();
}

#[test]
fn clients_that_read_no_answer_leave_room() {
    let answer = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nServer-Seal: a\r\nContent-Length: {0}\r\n\r\n{1}",
        4 * MAX_BODY,
        "x".repeat(4 * MAX_BODY)
    );
    let script = Script::whole(&head("GET", ""), b"");
    let case = Case {
        answer: Behaviour::Raw(answer.leak()),
        ..Case::new("unread answers", FEW, script)
    };
    case.check();
}

/// Guards against idle connections that take up the part of the memory in which large bodies
/// find room, and are closed without any gain.
#[test]
fn a_large_body_finds_room_beside_idle_connections() {
    let mut site = Site::spawn(Behaviour::Answer(200, "good"));
    let _crowd = Crowd::connect(site.callers, MANY, &Script::whole("", b""));
    thread::sleep(IDLE);
    let body = vec![b'x'; 64 * 1_024];
    site.check_body("large body beside idle connections", &body, BODY_ATTEMPTS);
    site.check_process("large body beside idle connections");
}

/// Guards against limits that keep out a single request inside the pages' limits.
#[test]
fn the_largest_body_is_served_in_calm() {
    let mut site = Site::spawn(Behaviour::Answer(200, "good"));
    let answer = site.call(&Method::POST, "large", &vec![b'x'; MAX_BODY]);
    assert_eq!(answer, Ok(200));
    site.check_process("the largest body");
}
