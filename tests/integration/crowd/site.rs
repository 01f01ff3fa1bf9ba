//! Test site with little memory and few descriptors.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use hyper::Method;
use quetzalworks::platform::operator;
use quetzalworks::standin::StandinLog;
use serde_json::{Value, json};

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::{self, Entry};
use crate::direct::world::config;
use crate::testing::process::Process;
use crate::testing::{http, isolation, wait};

/// Memory of the process, in bytes.
pub const MEMORY: u64 = 48_000_000;
/// File descriptors of the process.
pub const DESCRIPTORS: usize = 2_400;
/// Largest body of a request.
pub const MAX_BODY: usize = 1_024 * 1_024;
/// Attempts of an ordinary caller, with a pause between them.
const ATTEMPTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(250);
/// Time limits that leave a crowd connected throughout the test.
const LONG_MS: u64 = 60_000;

pub struct Site {
    pub process: Process,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    _store: StandinLog,
    _endpoints: Vec<Endpoint>,
}

impl Site {
    /// Starts a process whose service for crowds answers as given.
    pub fn spawn(answer: Behaviour) -> Self {
        let store = smol::block_on(StandinLog::bind(isolation::free_addr(), &http::traffic()));
        let store = store.unwrap();
        let value = crowd_config().to_string();
        store.put(operator::TOPIC, "config", Some(value.as_bytes()));
        let crowded = Endpoint::spawn("crowded", &[], answer);
        let sound = Endpoint::spawn("sound", &[], Behaviour::Answer(200, "good"));
        site::put_endpoint(&store, "desk", &crowded, 1);
        site::put_endpoint(&store, "other", &sound, 1);
        let limits = format!(
            "[Limits]\nMemoryMb = {}\nMaxFds = {DESCRIPTORS}\n",
            MEMORY / 1_000_000
        );
        let entry = Entry::spawn_with(site::NAME, store.addr(), &limits);
        let site = Self {
            process: entry.process,
            callers: entry.callers,
            readiness: entry.readiness,
            _store: store,
            _endpoints: vec![crowded, sound],
        };
        wait::until("the process is ready", || site::is_ready(site.readiness));
        site
    }

    /// Checks that an ordinary caller gets its answer after a few attempts.
    pub fn check_ordinary(&self, name: &str) {
        let mut seen = Vec::new();
        for i in 0..ATTEMPTS {
            let answer = self.call(&Method::GET, &format!("ordinary-{i}"), b"");
            if answer == Ok(200) {
                return;
            }
            seen.push(answer);
            thread::sleep(PAUSE);
        }
        panic!("{name}: no answer for an ordinary caller: {seen:?}");
    }

    /// Checks that a body is served after at most so many attempts.
    pub fn check_body(&self, name: &str, body: &[u8], attempts: usize) {
        let mut seen = Vec::new();
        for i in 0..attempts {
            let answer = self.call(&Method::POST, &format!("body-{i}"), body);
            if answer == Ok(200) {
                return;
            }
            seen.push(answer);
            thread::sleep(PAUSE);
        }
        panic!("{name}: no answer for a body: {seen:?}");
    }

    /// Sends a request to the service that no crowd uses; returns the status.
    pub fn call(&self, method: &Method, id: &str, body: &[u8]) -> Result<u16, String> {
        let headers = [
            ("host", "example.test"),
            ("attempt-id", id),
            ("deadline-ms", "20000"),
        ];
        http::send(self.callers, method, "/open/x", &headers, body)
            .map(|answer| answer.status)
            .map_err(|err| err.to_string())
    }

    /// Checks that the process lives and has kept to its memory and descriptors.
    pub fn check_process(&mut self, name: &str) {
        check_process(&mut self.process, name, MEMORY, DESCRIPTORS - 200);
        let answer = http::send(self.readiness, &Method::GET, "/ready", &[], b"");
        assert!(
            answer.is_ok(),
            "{name}: readiness is not answered: {answer:?}"
        );
        // An entry that waits for the processor says so for a while.
        wait::until("the process is ready", || site::is_ready(self.readiness));
    }
}

/// Checks that a process lives and has kept to so many bytes and descriptors.
pub fn check_process(process: &mut Process, name: &str, memory: u64, descriptors: usize) {
    let status = process.exit_status();
    assert!(status.is_none(), "{name}: {status:?}");
    let (peak, open) = (process.peak_resident_bytes(), process.descriptors());
    println!("{name}: peak {peak} bytes, {open} descriptors");
    assert!(peak < memory, "{name}: {peak} bytes");
    assert!(open <= descriptors, "{name}: {open} descriptors");
    let logged = process.logged();
    assert!(!logged.contains("panicked"), "{name}: {logged}");
}

fn crowd_config() -> Value {
    let mut config = config(1);
    config["Limits"] = json!({ "MaxHeaderBytes": 8192, "MaxBodyBytes": MAX_BODY,
        "HeaderTimeoutMs": LONG_MS, "IdleTimeoutMs": LONG_MS });
    let services = config["Services"].as_array_mut().unwrap();
    services.push(json!({ "Name": "other", "MaxConnections": 64 }));
    for route in config["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = LONG_MS.into();
    }
    config["Routes"][3]["Service"] = "other".into();
    config
}
