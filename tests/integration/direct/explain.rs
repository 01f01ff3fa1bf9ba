//! Explanation of a failed request by its id, from the log alone.

use std::process::Command;
use std::time::Duration;

use hyper::Method;
use quetzalworks::catalog::ApiKey;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::Site;
use crate::direct::world::config;
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

/// Guards against a withdrawn key of which the log does not tell when an entry learnt of it,
/// and by which configuration, offset and age a request was let in.
#[test]
fn the_log_tells_by_which_read_a_key_was_accepted() {
    struct Case {
        name: &'static str,
        /// Part of a line, and what that line has too.
        line: &'static str,
        expected: &'static [&'static str],
    }
    let case = |name, line, expected| Case {
        name,
        line,
        expected,
    };
    let cases = [
        case(
            "why a listing is whole",
            "\"origin\":\"listing\"",
            &[
                "\"proof\":\"whole\"",
                "\"end\":\"1 in era 0\"",
                "\"age_ms\"",
            ],
        ),
        case(
            "why a read is whole",
            "\"records\":1,\"source\":\"operator\"",
            &[
                "\"proof\":\"whole\"",
                "\"lacking\":0",
                "\"end\":\"2 in era 0\"",
            ],
        ),
        case(
            "which key a configuration withdraws",
            "\"key withdrawn\"",
            &["\"key\":\"KEY\"", "\"revision\":\"2\"", "\"team\":\"red\""],
        ),
        case(
            "by what a key was accepted",
            "\"id-before\"",
            &[
                "config=1 config_era=0 config_offset=1 config_age_ms=",
                "key=KEY",
            ],
        ),
        case(
            "by what it was refused",
            "\"id-after\"",
            &[
                "config=2 config_era=0 config_offset=2 config_age_ms=",
                "key=KEY",
            ],
        ),
    ];
    let desk = Endpoint::spawn("desk-1", &[], Behaviour::Echo(Duration::ZERO));
    let site = Site::spawn(&[("desk", &desk)]);
    let answer = site.call(&Method::GET, "/look/a", "id-before").unwrap();
    assert_eq!(answer.status, 200);
    let mut next = config(2);
    next["Tenants"][0]["ApiKeys"] = serde_json::json!(["key-blue"]);
    site.put_config(&next);
    wait::until("the key is refused", || {
        let answer = site.call(&Method::GET, "/look/a", "id-after");
        answer.is_ok_and(|answer| answer.status == 401)
    });
    let label = ApiKey::new("key-red").label().to_string();
    for case in cases {
        wait::until(case.name, || {
            let lines = site.process.lines_with(case.line);
            let has = |line: &String, part: &str| line.contains(&part.replace("KEY", &label));
            lines
                .iter()
                .any(|line| case.expected.iter().all(|part| has(line, part)))
        });
    }
}
