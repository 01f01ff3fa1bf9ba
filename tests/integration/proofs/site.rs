//! A site in which the stand-ins run as processes of their own, too.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use hyper::Method;
use quetzalworks::ids::{ChangeId, Digest, Offset};
use quetzalworks::platform::{LogClient, Stream};
use quetzalworks::standin::Authority;
use serde_json::{Value, json};

use crate::testing::process::Process;
use crate::testing::{http, isolation, wait};

const TEAM_TOKEN: &str = "team-token";
const DOMAIN_COUNT: usize = 4;

/// A stand-in process, killed when dropped.
pub struct Standin {
    pub addr: SocketAddr,
    child: Child,
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Standin {
    fn spawn(kind: &str, options: Option<&Value>) -> Self {
        let addr = isolation::free_addr();
        let mut command = Command::new(env!("CARGO_BIN_EXE_quetzalworks-standin"));
        command.args([kind, "--listen", &addr.to_string()]);
        if let Some(options) = options {
            command.args(["--options", &options.to_string()]);
        }
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        // The first line is printed once the stand-in is listening.
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        assert!(line.contains("addr"), "{kind}: {line}");
        Self { addr, child }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Entries, sidecars, engines and platform stand-ins, each a process.
pub struct Site {
    pub entries: Vec<Process>,
    pub callers: Vec<SocketAddr>,
    pub sidecars: Vec<Process>,
    pub engines: Vec<Standin>,
    log: Standin,
    inventory: Standin,
    authority: Authority,
    dir: PathBuf,
    vms: Vec<Value>,
}

impl Site {
    pub fn start(entries: usize, engines: usize, engine: &Value) -> Self {
        let dir = isolation::create_test_dir();
        std::fs::write(dir.join("session.key"), [7; 32]).unwrap();
        let mut site = Self {
            entries: Vec::new(),
            callers: Vec::new(),
            sidecars: Vec::new(),
            engines: Vec::new(),
            log: Standin::spawn("log", None),
            inventory: Standin::spawn("inventory", None),
            authority: Authority::generate().unwrap(),
            dir,
            vms: Vec::new(),
        };
        let token = Digest::of(TEAM_TOKEN.as_bytes()).to_string();
        site.publish("teams/red", &json!({ "team": { "token_sha256": [token] } }));
        let version = json!({ "model": "small", "prompt_cost": 100, "output_cost": 300, "prior_quality": 0.8 });
        site.publish("versions/small-1", &json!({ "version": version }));
        let profile = json!({ "teams": ["red"], "versions": ["small-1"], "quality_target": 0.7 });
        site.publish("profiles/chat", &json!({ "profile": profile }));
        for i in 0..engines {
            site.add_engine(i, engine);
        }
        for i in 0..entries {
            site.add_entry(i);
        }
        let vms = json!({ "vms": site.vms });
        http::post(site.inventory.addr, "/standin/control", "", &vms);
        site
    }

    /// Appends a record to the log that creates an object.
    pub fn publish(&self, id: &str, content: &Value) {
        let change = json!({ "change": {
            "id": ChangeId::generate(), "object": id, "base": 0, "content": content, "author": "test",
        }});
        let log = LogClient::new(self.log.addr, http::traffic());
        smol::block_on(log.append(Stream::Config, &[change])).unwrap();
    }

    pub fn records(&self, stream: Stream) -> Vec<Value> {
        let log = LogClient::new(self.log.addr, http::traffic());
        let page = smol::block_on(log.read(stream, Offset(0), Duration::ZERO)).unwrap();
        page.records.into_iter().map(|record| record.body).collect()
    }

    pub fn caller(&self) -> crate::proofs::caller::Caller {
        crate::proofs::caller::Caller::new(self.callers.clone(), TEAM_TOKEN)
    }

    fn add_engine(&mut self, i: usize, options: &Value) {
        let engine = Standin::spawn("engine", Some(options));
        let role = json!({ "sidecar": {
            "endpoint_addr": engine.addr, "endpoint": { "engine": { "checks_fence": true } },
            "cold_limit": 16, "max_concurrent": 16,
        }});
        let process = self.node(&format!("endpoint-{i}"), "sidecar", i, &role);
        self.engines.push(engine);
        self.sidecars.push(process);
    }

    fn add_entry(&mut self, i: usize) {
        let callers = isolation::free_addr();
        let role = json!({ "entry": {
            "callers_addr": callers,
            "operator_token_sha256": Digest::of(b"operator-token").to_string(),
            "session_key_file": self.dir.join("session.key"),
            "usage_flush_ms": 200,
        }});
        let process = self.node(&format!("entry-{i}"), "entry", i, &role);
        self.entries.push(process);
        self.callers.push(callers);
    }

    fn node(&mut self, name: &str, role: &str, i: usize, settings: &Value) -> Process {
        let tls = self
            .authority
            .issue(&name.parse().unwrap(), &self.dir)
            .unwrap();
        let peer_addr = isolation::free_addr();
        let domain = format!("domain-{}", i % DOMAIN_COUNT);
        let settings = json!({
            "vm": name, "domain": domain, "region": "region-1",
            "peer_addr": peer_addr, "operations_addr": isolation::free_addr(),
            "platform": { "log_addr": self.log.addr, "inventory_addr": self.inventory.addr },
            "tls": tls, "role": settings, "traffic_threads": 1, "drain_timeout_ms": 10_000,
        });
        let file = self.dir.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        self.vms.push(json!({
            "vm": name, "domain": domain, "region": "region-1",
            "role": role, "peer_addr": peer_addr, "state": "live",
        }));
        Process::spawn(file)
    }

    /// Waits until each entry answers a chat request.
    pub fn wait_until_ready(&self) {
        let body = json!({ "model": "chat", "max_tokens": 1, "messages": [{ "role": "user", "content": "ready?" }] });
        let body = body.to_string();
        let bearer = format!("Bearer {TEAM_TOKEN}");
        for addr in &self.callers {
            wait::until("an entry answers", || {
                let headers = [("authorization", bearer.as_str())];
                let path = "/v1/chat/completions";
                let answer = http::send(*addr, &Method::POST, path, &headers, body.as_bytes());
                answer.is_ok_and(|answer| answer.status == 200)
            });
        }
    }
}
