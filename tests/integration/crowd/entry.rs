//! Crowds at an entry with sidecars.

use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::crowd::client::{self, Crowd, Script};
use crate::crowd::site;
use crate::testing::cluster::Cluster;
use crate::testing::spec::Spec;

/// Resident memory of the process, in bytes.
const MEMORY: u64 = 64_000_000;
/// Memory for callers in the settings.
const BUFFERED: usize = 16 * 1_024 * 1_024;
const MAX_CONNECTIONS: usize = 800;
/// Open descriptors, with those for peers, the log and files.
const DESCRIPTORS: usize = MAX_CONNECTIONS + 100;
const MAX_BODY: usize = 1_024 * 1_024;
/// Attempts of an ordinary caller, with a pause between them.
const ATTEMPTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(250);

struct Case {
    name: &'static str,
    count: usize,
    /// Header lines that end the head, with the blank line after it if it is complete.
    lines: String,
    body: Vec<u8>,
    /// Bytes that are sent at once.
    piece: usize,
}

impl Case {
    fn check(&self) {
        let mut cluster = Cluster::start_spec(Spec {
            engines: 1,
            entry: json!({ "limits": { "max_connections": MAX_CONNECTIONS,
                "buffered_bytes": BUFFERED, "body_bytes": MAX_BODY, "send_timeout_ms": 60_000 } }),
            ..Spec::default()
        });
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {}\r\n{}",
            cluster.team_token, self.lines
        );
        let script = Script::in_pieces(&head, &self.body, self.piece);
        let _crowd = Crowd::connect(cluster.entry_addr(0), self.count, &script);
        let mut seen = Vec::new();
        let is_answered = (0..ATTEMPTS).any(|_| {
            let answer = cluster.send_chat(0).map(|answer| answer.status);
            let is_answered = answer == Ok(200);
            if !is_answered {
                seen.push(answer);
                thread::sleep(PAUSE);
            }
            is_answered
        });
        assert!(is_answered, "{}: no answer: {seen:?}", self.name);
        let process = &mut cluster.entries[0].process;
        site::check_process(process, self.name, MEMORY, DESCRIPTORS);
    }
}

#[test]
fn large_bodies_that_stop_short_leave_room_at_an_entry_with_sidecars() {
    let case = Case {
        name: "large bodies",
        count: 100,
        lines: format!("content-length: {MAX_BODY}\r\n\r\n"),
        body: vec![b'x'; MAX_BODY - 1],
        piece: MAX_BODY / 4,
    };
    case.check();
}

#[test]
fn small_bodies_that_stop_short_leave_room_at_an_entry_with_sidecars() {
    let case = Case {
        name: "small bodies",
        count: 780,
        lines: "content-length: 15000\r\n\r\n".to_owned(),
        body: vec![b'x'; 14_999],
        piece: 15_000,
    };
    case.check();
}

#[test]
fn small_chunks_that_stop_short_leave_room_at_an_entry_with_sidecars() {
    let case = Case {
        name: "chunks of one byte",
        count: 780,
        lines: "transfer-encoding: chunked\r\n\r\n".to_owned(),
        body: client::chunks(1, 8_000),
        piece: 16_000,
    };
    case.check();
}

#[test]
fn heads_without_end_leave_room_at_an_entry_with_sidecars() {
    let case = Case {
        name: "heads without end",
        count: 780,
        lines: format!("x-long: {}", "a".repeat(30_000)),
        body: Vec::new(),
        piece: 1,
    };
    case.check();
}

#[test]
fn more_idle_connections_than_are_accepted_leave_room_at_an_entry_with_sidecars() {
    let mut cluster = Cluster::start_spec(Spec {
        engines: 1,
        entry: json!({ "limits": { "max_connections": 100, "send_timeout_ms": 60_000 } }),
        ..Spec::default()
    });
    let _crowd = Crowd::connect(cluster.entry_addr(0), 200, &Script::whole("", b""));
    let is_answered = (0..ATTEMPTS).any(|_| {
        let is_answered = cluster
            .send_chat(0)
            .is_ok_and(|answer| answer.status == 200);
        if !is_answered {
            thread::sleep(PAUSE);
        }
        is_answered
    });
    assert!(is_answered, "no answer");
    site::check_process(&mut cluster.entries[0].process, "idle", MEMORY, 200);
}
