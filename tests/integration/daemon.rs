//! Tests of planned stops, readiness, metrics and panics of real processes.

use std::io::Read;
use std::process::Command;
use std::thread;
use std::time::Duration;

use quetzalworks::{control, daemon, fleet, ids};
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::process::Process;
use crate::testing::{http, raw, wait};

fn exit_code(process: &mut Process) -> Option<i32> {
    process.wait_exit().code()
}

fn begin_stream(cluster: &Cluster, tokens: u64) -> std::net::TcpStream {
    let body = json!({
        "model": "chat", "stream": true, "max_tokens": tokens,
        "messages": [{ "role": "user", "content": "long" }],
    });
    let bytes = raw::chat(&cluster.team_token, body.to_string().as_bytes());
    let mut tcp = raw::open(cluster.entry_addr(0), &bytes);
    tcp.read_exact(&mut [0; 16]).unwrap();
    tcp
}

/// Guards against a planned stop that cuts off an answer, and against a process
/// that reports itself ready while it stops.
#[test]
fn a_planned_stop_completes_running_requests() {
    let mut cluster = Cluster::start(1, 1);
    let addr = cluster.entries[0].operations_addr;
    assert_eq!(http::try_get(addr, "/readyz", "").unwrap().status, 200);
    let tcp = begin_stream(&cluster, 3_000);
    cluster.entries[0].process.terminate();
    wait::until("readiness is false", || {
        http::try_get(addr, "/readyz", "").is_ok_and(|answer| answer.status == 503)
    });
    let answer = raw::read_to_close(tcp);
    assert!(answer.contains("data: [DONE]"), "{answer}");
    assert_eq!(exit_code(&mut cluster.entries[0].process), Some(0));
    cluster.sidecars[0].process.terminate();
    assert_eq!(exit_code(&mut cluster.sidecars[0].process), Some(0));
}

/// Guards against a planned stop that an operator cannot end early.
#[test]
fn a_second_signal_stops_the_process_at_once() {
    let mut cluster = Cluster::start(1, 1);
    let _tcp = begin_stream(&cluster, 100_000);
    let addr = cluster.entries[0].operations_addr;
    cluster.entries[0].process.terminate();
    wait::until("readiness is false", || {
        http::try_get(addr, "/readyz", "").is_ok_and(|answer| answer.status == 503)
    });
    cluster.entries[0].process.terminate();
    assert_eq!(exit_code(&mut cluster.entries[0].process), Some(1));
}

/// Guards against metrics that are registered but never counted.
#[test]
fn metrics_are_counted() {
    let cluster = Cluster::start(1, 1);
    let _ = http::try_get(cluster.entry_addr(0), "/v1/models", "wrong");
    let text = http::try_get(cluster.entries[0].operations_addr, "/metrics", "")
        .unwrap()
        .text();
    let expected = [
        "quetzalworks_requests_total{code=\"0\"",
        "quetzalworks_requests_total{code=\"1401\"",
        "quetzalworks_first_token_seconds_count",
        "quetzalworks_latency_seconds_bucket",
        "quetzalworks_attempts_total",
        "quetzalworks_endpoints{",
        "quetzalworks_config_offset{",
        "quetzalworks_outbox",
    ];
    for name in expected {
        assert!(text.contains(name), "{name} is missing:\n{text}");
    }
    let sidecar = cluster.sidecars[0].operations_addr;
    assert_eq!(http::try_get(sidecar, "/healthz", "").unwrap().status, 200);
    assert_eq!(http::try_get(sidecar, "/readyz", "").unwrap().status, 200);
}

const CHILD_VAR: &str = "QUETZALWORKS_TEST_PANIC";

fn failing_system(_: &mut control::World, _: &mut control::TickCx) {
    panic!("a system failed");
}

/// Guards against a process that keeps serving from a snapshot that is never
/// renewed. The test runs itself as the child process that panics.
#[test]
fn a_panic_of_the_control_thread_ends_the_process() {
    if std::env::var_os(CHILD_VAR).is_some() {
        daemon::install_panic_hook();
        let identity = fleet::Identity {
            vm: "entry-0".parse().unwrap(),
            domain: "a".parse().unwrap(),
            region: "r".parse().unwrap(),
            incarnation: ids::Incarnation(1),
            role: fleet::NodeRole::Entry,
        };
        let _control =
            control::Control::spawn(control::World::new(identity), &[failing_system]).unwrap();
        thread::sleep(Duration::from_mins(1));
        return;
    }
    let status = Command::new(std::env::current_exe().unwrap())
        .args([
            "--exact",
            "daemon::a_panic_of_the_control_thread_ends_the_process",
        ])
        .env(CHILD_VAR, "1")
        .output()
        .unwrap()
        .status;
    assert_eq!(status.code(), Some(1));
}

/// Guards against a panic in one request that ends the traffic thread, on which
/// all other requests depend.
#[test]
fn a_panic_of_a_task_ends_only_the_task() {
    let traffic = quetzalworks::runtime::Traffic::spawn_threads(1).unwrap();
    traffic.spawn(async { panic!("a task failed") }).detach();
    assert_eq!(smol::block_on(traffic.spawn(async { 7 })), 7);
}
