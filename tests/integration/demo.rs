//! The development demo as a process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};

use serde_json::{Value, json};

use crate::testing::{http, isolation, process};

/// Guards against access data that is printed before requests succeed, a wrong
/// port in it, and a temporary folder that is left behind after a signal.
#[test]
fn demo_serves_until_it_gets_a_stop_signal() {
    struct Case {
        signal: &'static str,
    }
    let cases = [Case { signal: "INT" }, Case { signal: "TERM" }];
    for case in cases {
        let dir = isolation::create_test_dir();
        let mut child = Command::new(env!("CARGO_BIN_EXE_quetzalworks-demo"))
            .args(["--listen", "127.0.0.1:0"])
            .env("TMPDIR", &dir)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        out.read_line(&mut line).unwrap();
        let access: Value = serde_json::from_str(&line).unwrap();
        let text = |name: &str| access[name].as_str().unwrap().to_owned();
        let addr: SocketAddr = text("base_url")["http://".len()..].parse().unwrap();
        let body = json!({
            "model": text("profile"),
            "max_tokens": 3,
            "messages": [{ "role": "user", "content": "hello" }],
        });
        let answer = http::post(addr, "/v1/chat/completions", &text("team_token"), &body);
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert!(!is_empty(&dir));
        process::signal(case.signal, child.id());
        let status = child.wait().unwrap();
        assert!(status.success(), "{}: {status}", case.signal);
        assert!(is_empty(&dir), "{}", case.signal);
        std::fs::remove_dir(&dir).unwrap();
    }
}

fn is_empty(dir: &Path) -> bool {
    std::fs::read_dir(dir).unwrap().next().is_none()
}
