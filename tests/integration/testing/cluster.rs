//! Real processes of the system among stand-ins.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use quetzalworks::catalog;
use quetzalworks::fleet::NodeRole;
use quetzalworks::ids::{ChangeId, Digest, Revision};
use quetzalworks::platform::{Stream, Vm, VmState};
use quetzalworks::settings;
use quetzalworks::standin::{
    Authority, EngineProfile, StandinEngine, StandinInventory, StandinLog,
};
use serde_json::{Value, json};

use crate::testing::{http, place, wait};

/// A process of the system; killed when dropped.
#[derive(Debug)]
pub struct Process {
    pub vm: String,
    pub child: Child,
    pub log_file: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Processes and stand-ins of one test.
pub struct Cluster {
    pub team_token: String,
    pub operator_token: String,
    pub log: StandinLog,
    pub inventory: StandinInventory,
    pub engines: Vec<StandinEngine>,
    pub entries: Vec<(Process, SocketAddr)>,
    pub sidecars: Vec<Process>,
    dir: PathBuf,
}

impl Cluster {
    /// Starts entries and sidecars in four failure domains and waits until
    /// each entry answers.
    pub fn start(entries: usize, sidecars: usize) -> Self {
        let traffic = http::traffic();
        let dir = place::dir();
        let (log, inventory) = smol::block_on(async {
            let log = StandinLog::bind(place::addr(), &traffic).await.unwrap();
            (
                log,
                StandinInventory::bind(place::addr(), &traffic)
                    .await
                    .unwrap(),
            )
        });
        std::fs::write(dir.join("session.key"), [7; 32]).unwrap();
        let mut cluster = Self {
            team_token: "team-token".into(),
            operator_token: "operator-token".into(),
            log,
            inventory,
            engines: Vec::new(),
            entries: Vec::new(),
            sidecars: Vec::new(),
            dir,
        };
        cluster.publish_defaults();
        cluster.spawn(entries, sidecars);
        cluster.wait_until_ready();
        cluster
    }

    pub fn entry_addr(&self, i: usize) -> SocketAddr {
        self.entries[i].1
    }

    /// Appends a change directly to the log.
    pub fn publish(&self, id: &str, base: u64, content: Value) {
        let change = catalog::Body::Change(catalog::Change {
            id: ChangeId::generate(),
            object: id.parse().unwrap(),
            base: Revision(base),
            content: Some(serde_json::from_value(content).unwrap()),
            author: "test".into(),
        });
        self.log.append(Stream::Config, &change).unwrap();
    }

    fn publish_defaults(&self) {
        let token = Digest::of(self.team_token.as_bytes()).to_string();
        self.publish(
            "teams/red",
            0,
            json!({ "team": { "token_sha256": [token] } }),
        );
        let version = json!({ "model": "small", "prompt_cost": 100, "output_cost": 300, "prior_quality": 0.8 });
        self.publish("versions/small-1", 0, json!({ "version": version }));
        let profile = json!({ "teams": ["red"], "versions": ["small-1"], "quality_target": 0.7 });
        self.publish("profiles/chat", 0, json!({ "profile": profile }));
    }

    fn spawn(&mut self, entries: usize, sidecars: usize) {
        let authority = Authority::generate().unwrap();
        let mut vms = Vec::new();
        for i in 0..sidecars {
            let engine = Self::spawn_engine();
            let role = json!({ "sidecar": {
                "endpoint_addr": engine.addr(),
                "endpoint": { "engine": { "checks_fence": true } },
            }});
            self.engines.push(engine);
            let (process, vm) = self.spawn_process(
                &format!("endpoint-{i}"),
                i,
                NodeRole::Sidecar,
                &role,
                &authority,
            );
            self.sidecars.push(process);
            vms.push(vm);
        }
        for i in 0..entries {
            let callers = place::addr();
            let role = json!({ "entry": {
                "callers_addr": callers,
                "operator_token_sha256": Digest::of(self.operator_token.as_bytes()).to_string(),
                "session_key_file": self.dir.join("session.key"),
            }});
            let (process, vm) =
                self.spawn_process(&format!("entry-{i}"), i, NodeRole::Entry, &role, &authority);
            self.entries.push((process, callers));
            vms.push(vm);
        }
        self.inventory.set(vms);
    }

    fn spawn_engine() -> StandinEngine {
        let profile = EngineProfile {
            versions: vec!["small-1".parse().unwrap()],
            ..EngineProfile::default()
        };
        smol::block_on(StandinEngine::bind(
            place::addr(),
            profile,
            &http::traffic(),
        ))
        .unwrap()
    }

    fn spawn_process(
        &self,
        name: &str,
        i: usize,
        role: NodeRole,
        settings: &Value,
        authority: &Authority,
    ) -> (Process, Vm) {
        let vm = name.parse().unwrap();
        let tls = authority.issue(&vm, &self.dir).unwrap();
        let peer_addr = place::addr();
        let domain = format!("domain-{}", i % 4);
        let settings = json!({
            "vm": vm,
            "domain": domain,
            "region": "region-1",
            "peer_addr": peer_addr,
            "operations_addr": place::addr(),
            "platform": { "log_addr": self.log.addr(), "inventory_addr": self.inventory.addr() },
            "tls": tls,
            "role": settings,
        });
        settings::parse(&settings.to_string()).unwrap();
        let file = self.dir.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let process = run_daemon(name, &file, &self.dir);
        let listed = Vm {
            vm,
            domain: domain.parse().unwrap(),
            region: "region-1".parse().unwrap(),
            role,
            peer_addr,
            state: VmState::Live,
        };
        (process, listed)
    }

    fn wait_until_ready(&self) {
        let body = json!({ "model": "chat", "max_tokens": 1, "messages": [{ "role": "user", "content": "ready?" }] });
        for (_, addr) in &self.entries {
            wait::until("an entry answers", || {
                http::try_post(*addr, "/v1/chat/completions", &self.team_token, &body)
                    .is_ok_and(|answer| answer.status == 200)
            });
        }
    }
}

fn run_daemon(name: &str, settings: &Path, dir: &Path) -> Process {
    let log_file = dir.join(format!("{name}.log"));
    let child = Command::new(env!("CARGO_BIN_EXE_quetzalworksd"))
        .arg("--settings")
        .arg(settings)
        .env("RUST_LOG", "info")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(File::create(&log_file).unwrap())
        .spawn()
        .unwrap();
    Process {
        vm: name.into(),
        child,
        log_file,
    }
}
