//! Tests of the operators' command-line tool against a real entry process.

use std::process::{Command, Output};

use serde_json::Value;

use crate::testing::cluster::Cluster;
use crate::testing::isolation;

fn run_tool(server: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_quetzalworks"))
        .args(args)
        .env("QUETZALWORKS_SERVER", server)
        .env("QUETZALWORKS_TOKEN", "operator-token")
        .output()
        .unwrap()
}

struct Case {
    args: &'static [&'static str],
    exit: i32,
    /// Text that standard output or standard error must contain.
    expected_text: &'static str,
}

const fn case(args: &'static [&'static str], exit: i32, expected_text: &'static str) -> Case {
    Case {
        args,
        exit,
        expected_text,
    }
}

/// Commands in order, since each sees the changes of those before it.
const WITH_SERVER: &[Case] = &[
    case(&["get", "profiles"], 0, "chat"),
    case(&["get", "profiles", "chat"], 0, "quality_target"),
    case(&["get", "profiles", "none"], 1, "no object profiles/none"),
    case(&["get", "things"], 2, "kind"),
    case(
        &["out", "domain", "domain-0"],
        0,
        "domains/domain-0: accepted",
    ),
    case(&["get", "domains", "domain-0"], 0, "true"),
    case(
        &["watch", "domain", "domain-0"],
        0,
        "domain-0 out: in force on 1 of 1",
    ),
    case(&["watch", "domain", "domain-9"], 1, "domains/domain-9"),
    case(&["back", "domain", "domain-0"], 0, "accepted"),
    case(&["out", "vm", "endpoint-0"], 0, "vms/endpoint-0: accepted"),
    case(&["withdraw", "small-1"], 0, "accepted"),
    case(&["get", "versions", "small-1"], 0, "true"),
    case(&["publish", "small-1"], 0, "accepted"),
    case(&["delete", "teams", "red", "--base", "0"], 3, "3002"),
    case(&["delete", "teams", "red"], 1, "profiles/chat"),
    case(&["delete", "domains", "domain-0", "--dry-run"], 0, "out"),
    case(
        &[
            "rollout",
            "start",
            "r",
            "--profile",
            "chat",
            "--version",
            "small-1",
        ],
        0,
        "accepted",
    ),
    case(&["rollout", "pause", "r"], 0, "accepted"),
    case(&["status"], 0, "serving"),
    case(&["--json", "status"], 0, "\"state\":\"paused\""),
    case(&["rollout", "resume", "r"], 0, "accepted"),
    case(
        &[
            "rollout",
            "start",
            "r",
            "--profile",
            "chat",
            "--version",
            "small-1",
        ],
        3,
        "3002",
    ),
    case(&["rollout", "stop", "r"], 1, "versions"),
    case(&["explain", "00000000000000000000000000000001"], 1, "3005"),
    case(&["watch", "rollout", "none"], 1, "none"),
];

/// Guards against wrong exit codes, on which scripts rely, and against changes
/// that the tool reports but does not make.
#[test]
fn commands_change_and_show_objects() {
    let cluster = Cluster::start(1, 1);
    let server = cluster.entry_addr(0).to_string();
    for case in WITH_SERVER {
        check(case, &run_tool(&server, case.args));
    }
    let out = run_tool(&server, &["--json", "get", "profiles"]);
    let list: Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(list["items"][0]["name"], "chat");
}

const WITHOUT_SERVER: &[Case] = &[
    case(&["get", "profiles"], 1, "cannot read"),
    case(&["--help"], 0, "rollout"),
    case(&["rollout", "--help"], 0, "pause"),
    case(&["rollout", "start", "--help"], 0, "--profile"),
    case(&["rollout"], 2, ""),
    case(&["--server", "nowhere", "status"], 2, "nowhere"),
    case(&["certs", "--dir", "unused"], 2, "VM"),
];

/// Guards against a subcommand without help, and against usage errors whose exit
/// code is that of a failed change.
#[test]
fn commands_without_a_server() {
    let server = isolation::free_addr().to_string();
    for case in WITHOUT_SERVER {
        check(case, &run_tool(&server, case.args));
    }
    let dir = isolation::create_test_dir();
    let out = run_tool(
        &server,
        &["certs", "--dir", dir.to_str().unwrap(), "vm-1", "vm-2"],
    );
    assert_eq!(out.status.code(), Some(0));
    assert!(dir.join("ca.pem").exists() && dir.join("vm-2.key").exists());
    let file = dir.join("settings.json");
    std::fs::write(&file, "{\n  \"vm\": \"a b\"\n}").unwrap();
    let out = run_tool(&server, &["check", file.to_str().unwrap()]);
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2), "{text}");
    assert!(text.contains("vm, line 2"), "{text}");
}

fn check(case: &Case, out: &Output) {
    let text = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    assert_eq!(
        out.status.code(),
        Some(case.exit),
        "{:?}: {text}",
        case.args
    );
    assert!(text.contains(case.expected_text), "{:?}: {text}", case.args);
}

/// Guards against a watch of a returning failure domain that ends before its
/// endpoints accept work, or waits for ever where no work arrives.
#[test]
fn watch_waits_until_a_returning_domain_serves() {
    let cluster = Cluster::start(1, 1);
    let server = cluster.entry_addr(0).to_string();
    let cases = [
        case(&["out", "domain", "domain-0"], 0, "accepted"),
        case(
            &["watch", "domain", "domain-0"],
            0,
            "domain-0 out: in force on 1 of 1",
        ),
        case(&["back", "domain", "domain-0"], 0, "accepted"),
        case(&["watch", "domain", "domain-0"], 0, "0 warm, 1 idle"),
    ];
    for case in &cases {
        check(case, &run_tool(&server, case.args));
    }
    assert_eq!(cluster.send_chat(0).unwrap().status, 200);
}
