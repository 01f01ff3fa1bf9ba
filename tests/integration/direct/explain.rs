//! Explanation of a failed request by its id, from the log alone.

use std::process::Command;

use hyper::Method;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::testing::wait;

/// Guards against a failed request whose cause is not in the log, and against API keys in
/// the log.
#[test]
fn explain_log_shows_the_cause_of_a_failure() {
    struct Case {
        name: &'static str,
        behaviour: Behaviour,
        path: &'static str,
        headers: &'static [(&'static str, &'static str)],
        expected: &'static [&'static str],
    }
    const KEY: &[(&str, &str)] = &[("key", "key-red")];
    let cases = [
        Case {
            name: "refused",
            behaviour: Behaviour::NotRun,
            path: "/hold/a",
            headers: KEY,
            expected: &[
                "refused",
                "overloaded",
                "not run (refused: status 503",
                "[score, 1 well of 1 open of 1, load 0 own only",
                "desk-1",
                "config=1",
            ],
        },
        Case {
            name: "outcome unknown",
            behaviour: Behaviour::Close,
            path: "/hold/a",
            headers: KEY,
            expected: &[
                "gave_up",
                "outcome_unknown",
                "outcome unknown (broken",
                "[score, 1 well of 1 open of 1, load 0 own only",
                "desk-1",
            ],
        },
        Case {
            name: "unknown key",
            behaviour: Behaviour::NotRun,
            path: "/hold/a",
            headers: &[("key", "wrong-secret")],
            expected: &["refused", "unauthorized", "unknown key"],
        },
    ];
    for case in cases {
        let desk = Endpoint::spawn("desk-1", &[], case.behaviour);
        let site = Site::spawn(&[("desk", &desk)]);
        let answer = site
            .call_with(&Method::POST, case.path, "id-7", case.headers)
            .unwrap();
        assert!(answer.status >= 400, "{}", case.name);
        wait::until("the request is logged", || {
            !site.process.lines_with("id-7").is_empty()
        });
        let output = Command::new(env!("CARGO_BIN_EXE_quetzalworks"))
            .args(["explain-log", "id-7"])
            .arg(&site.process.log_file)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        for expected in case.expected {
            assert!(
                text.contains(expected),
                "{}: no {expected:?} in {text}",
                case.name
            );
        }
        assert!(
            !site.process.logged().contains("wrong-secret"),
            "an API key is in the log"
        );
    }
}
