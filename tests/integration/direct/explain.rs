//! From the id of a request to its cause, by the logs alone.

use std::process::Command;

use hyper::Method;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::testing::wait;

/// Guards against a failed request whose cause the log does not tell.
#[test]
fn the_log_tells_why_a_request_failed() {
    struct Case {
        name: &'static str,
        behaviour: Behaviour,
        path: &'static str,
        headers: &'static [(&'static str, &'static str)],
        told: &'static [&'static str],
    }
    const KEY: &[(&str, &str)] = &[("key", "key-red")];
    let cases = [
        Case {
            name: "refused",
            behaviour: Behaviour::NotRun,
            path: "/hold/a",
            headers: KEY,
            told: &[
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
            told: &[
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
            told: &["refused", "unauthorized", "unknown key"],
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
        for told in case.told {
            assert!(text.contains(told), "{}: no {told:?} in {text}", case.name);
        }
        assert!(
            !site.process.logged().contains("wrong-secret"),
            "a key is in the log"
        );
    }
}
