//! Clusters of real entry and sidecar processes among stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;

use quetzalworks::catalog;
use quetzalworks::fleet::NodeRole;
use quetzalworks::ids::{ChangeId, Digest, Revision};
use quetzalworks::platform::Stream;
use quetzalworks::platform_clients::{Vm, VmState};
use quetzalworks::settings;
use quetzalworks::standin::{
    Authority, StandinEngine, StandinInventory, StandinLog, StandinRating, StandinService,
    StandinWeights, TcpProxy, UdpProxy,
};
use quetzalworks::units::Millis;
use quetzalworks::wire;
use serde_json::{Value, json};
use smol::block_on;

use crate::testing::http::{self, traffic};
use crate::testing::operator;
use crate::testing::process::Process;
use crate::testing::spec::{Spec, merge};
use crate::testing::{isolation, wait};

/// Seed of the rating noise.
const RATING_SEED: u64 = 0x5eed;
/// Maximum of parallel loads at the weight store.
const MAX_PARALLEL_LOADS: u32 = 2;
/// Duration of one load from the weight store.
const LOAD_TIME: Millis = Millis(50);

/// A process under test, with its addresses and the fault proxies on its links.
pub struct Node {
    pub vm: String,
    pub process: Process,
    /// Address that serves health, readiness and metrics.
    pub operations_addr: SocketAddr,
    /// Proxy between the entries and this process; `None` without `proxy_peers`.
    pub peer_proxy: Option<UdpProxy>,
    /// Proxy between this process and the log; `None` without `proxy_log`.
    pub log_proxy: Option<TcpProxy>,
    /// Proxy between this process and the list of VMs.
    pub inventory_proxy: TcpProxy,
    /// The process's own peer address, from which it connects to other processes.
    pub peer_addr: SocketAddr,
    /// Proxy between this sidecar and its endpoint; `None` without `proxy_endpoints`.
    pub endpoint_proxy: Option<TcpProxy>,
    /// Address for callers; `None` for sidecars.
    pub callers_addr: Option<SocketAddr>,
}

/// All processes and stand-ins of one test; its folder is removed on drop.
pub struct Cluster {
    pub team_token: String,
    pub operator_token: String,
    pub log: StandinLog,
    pub inventory: StandinInventory,
    pub rating: StandinRating,
    pub weights: StandinWeights,
    pub engines: Vec<StandinEngine>,
    pub services: Vec<StandinService>,
    pub entries: Vec<Node>,
    /// Sidecars of the engines, in the same order.
    pub sidecars: Vec<Node>,
    /// Sidecars of the service's endpoints, in the same order.
    pub service_sidecars: Vec<Node>,
    spec: Spec,
    authority: Authority,
    dir: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // A failed test keeps its log files for analysis.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Cluster {
    /// Starts entries, and engines with their sidecars, in four failure domains;
    /// returns once each entry reaches all endpoints.
    pub fn start(entries: usize, engines: usize) -> Self {
        Self::start_spec(Spec {
            entries,
            engines,
            ..Spec::default()
        })
    }

    /// Starts the cluster that `spec` describes; returns once each entry reaches
    /// all endpoints.
    pub fn start_spec(spec: Spec) -> Self {
        let traffic = &traffic();
        let dir = isolation::create_test_dir();
        std::fs::write(dir.join("session.key"), [7; 32]).unwrap();
        let mut cluster = Self {
            team_token: "team-token".into(),
            operator_token: "operator-token".into(),
            log: block_on(StandinLog::bind(isolation::free_addr(), traffic)).unwrap(),
            inventory: block_on(StandinInventory::bind(isolation::free_addr(), traffic)).unwrap(),
            rating: block_on(StandinRating::bind(
                isolation::free_addr(),
                RATING_SEED,
                traffic,
            ))
            .unwrap(),
            weights: block_on(StandinWeights::bind(
                isolation::free_addr(),
                MAX_PARALLEL_LOADS,
                LOAD_TIME,
                traffic,
            ))
            .unwrap(),
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            sidecars: Vec::new(),
            service_sidecars: Vec::new(),
            spec,
            authority: Authority::generate().unwrap(),
            dir,
        };
        cluster.publish_defaults();
        for _ in 0..cluster.spec.engines {
            cluster.add_engine();
        }
        for _ in 0..cluster.spec.services {
            cluster.add_service();
        }
        for _ in 0..cluster.spec.entries {
            cluster.add_entry();
        }
        cluster.wait_until_ready();
        cluster
    }

    /// Returns the address for callers of entry `i`.
    pub fn entry_addr(&self, i: usize) -> SocketAddr {
        self.entries[i].callers_addr.unwrap()
    }

    /// Appends a configuration change to the log, bypassing the entries; `null`
    /// deletes the object.
    pub fn publish(&self, id: &str, base: u64, content: Value) {
        let change = catalog::Body::Change(catalog::Change {
            id: ChangeId::generate(),
            object: id.parse().unwrap(),
            base: Revision(base),
            content: serde_json::from_value(content).unwrap(),
            author: "test".into(),
        });
        self.log.append(Stream::Config, &change).unwrap();
    }

    /// Publishes team `red`, version `small-1`, profile `chat` and, if the spec
    /// has services, the service `bookings`.
    fn publish_defaults(&self) {
        let token = Digest::of(self.team_token.as_bytes()).to_string();
        let team = json!({ "token_sha256": [token] });
        self.publish("teams/red", 0, json!({ "team": team }));
        let version = json!({ "model": "small", "prompt_cost": 100, "output_cost": 300, "prior_quality": 0.8 });
        self.publish("versions/small-1", 0, json!({ "version": version }));
        let profile = json!({ "teams": ["red"], "versions": ["small-1"], "quality_target": 0.7 });
        self.publish("profiles/chat", 0, json!({ "profile": profile }));
        if self.spec.services > 0 {
            let service = json!({ "teams": ["red"], "undated_keys": "accept" });
            self.publish("services/bookings", 0, json!({ "service": service }));
        }
    }

    /// Starts an engine and its sidecar.
    pub fn add_engine(&mut self) {
        let i = self.engines.len();
        let profile = (self.spec.engine)(i);
        let endpoint = json!({ "engine": { "checks_fence": profile.checks_fence } });
        let engine = block_on(StandinEngine::bind(
            isolation::free_addr(),
            profile,
            &traffic(),
        ))
        .unwrap();
        let node = self.start_sidecar(&format!("endpoint-{i}"), i, engine.addr(), &endpoint);
        self.engines.push(engine);
        self.sidecars.push(node);
    }

    /// Starts an endpoint of the service `bookings` and its sidecar.
    pub fn add_service(&mut self) {
        let i = self.services.len();
        let endpoint = json!({ "service": { "name": "bookings" } });
        let service = block_on(StandinService::bind(isolation::free_addr(), &traffic())).unwrap();
        let node = self.start_sidecar(&format!("service-{i}"), i, service.addr(), &endpoint);
        self.services.push(service);
        self.service_sidecars.push(node);
    }

    /// Starts an entry process.
    pub fn add_entry(&mut self) {
        let i = self.entries.len();
        let callers = isolation::free_addr();
        let mut entry = json!({
            "callers_addr": callers,
            "operator_token_sha256": Digest::of(self.operator_token.as_bytes()).to_string(),
            "session_key_file": self.dir.join("session.key"),
        });
        merge(&mut entry, &self.spec.entry);
        let role = json!({ "entry": entry });
        let mut node = self.start_node(&format!("entry-{i}"), i, NodeRole::Entry, &role);
        node.callers_addr = Some(callers);
        self.entries.push(node);
    }

    /// Starts a sidecar for the endpoint at `addr`.
    fn start_sidecar(&self, name: &str, i: usize, addr: SocketAddr, endpoint: &Value) -> Node {
        let proxy = self.spec.proxy_endpoints.then(|| tcp_proxy(addr));
        let mut sidecar = json!({
            "endpoint_addr": proxy.as_ref().map_or(addr, TcpProxy::addr),
            "endpoint": endpoint,
        });
        merge(&mut sidecar, &self.spec.sidecar);
        let role = json!({ "sidecar": sidecar });
        let mut node = self.start_node(name, i, NodeRole::Sidecar, &role);
        node.endpoint_proxy = proxy;
        node
    }

    /// Adds a process to the list of VMs and starts it, with settings merged from the spec.
    fn start_node(&self, name: &str, i: usize, role: NodeRole, settings: &Value) -> Node {
        let vm = name.parse().unwrap();
        let tls = self.authority.issue(&vm, &self.dir).unwrap();
        let (peer_addr, operations_addr) = (isolation::free_addr(), isolation::free_addr());
        let log_proxy = self.spec.proxy_log.then(|| tcp_proxy(self.log.addr()));
        let inventory_proxy = tcp_proxy(self.inventory.addr());
        let peer_proxy = self.spec.proxy_peers.then(|| udp_proxy(peer_addr));
        let domain = i % self.spec.domains;
        let region = format!("region-{}", 1 + domain % self.spec.regions);
        let domain = format!("domain-{domain}");
        let mut settings = json!({
            "vm": vm,
            "domain": domain,
            "region": region,
            "peer_addr": peer_addr,
            "operations_addr": operations_addr,
            "platform": {
                "log_addr": log_proxy.as_ref().map_or(self.log.addr(), TcpProxy::addr),
                "inventory_addr": inventory_proxy.addr(),
                "rating_addr": self.rating.addr(),
                "weights_addr": self.weights.addr(),
            },
            "tls": tls,
            "role": settings,
        });
        merge(&mut settings, &self.spec.settings);
        settings::parse(&settings.to_string()).unwrap();
        let file = self.dir.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let mut vms = self.inventory.vms();
        vms.push(Vm {
            vm,
            domain: domain.parse().unwrap(),
            region: region.parse().unwrap(),
            role,
            peer_addr: peer_proxy.as_ref().map_or(peer_addr, UdpProxy::addr),
            state: VmState::Live,
        });
        self.inventory.set(vms);
        Node {
            vm: name.into(),
            process: Process::spawn(file),
            operations_addr,
            peer_proxy,
            log_proxy,
            inventory_proxy,
            peer_addr,
            endpoint_proxy: None,
            callers_addr: None,
        }
    }

    /// Returns a peer node with a certificate of the cluster's authority, to
    /// exchange messages with its processes.
    pub fn peer(&self, name: &str) -> wire::Node {
        let vm = name.parse().unwrap();
        let files = self.authority.issue(&vm, &self.dir).unwrap();
        let tls = wire::TlsIdentity::open(&files).unwrap();
        wire::Node::bind(isolation::free_addr(), &tls, &traffic()).unwrap()
    }

    /// Sends a chat request for one token to an entry.
    pub fn send_chat(&self, entry: usize) -> Result<http::Answer, quetzalworks::http::HttpError> {
        let body = json!({ "model": "chat", "max_tokens": 1, "messages": [{ "role": "user", "content": "ready?" }] });
        let path = "/v1/chat/completions";
        http::try_post(self.entry_addr(entry), path, &self.team_token, &body)
    }

    /// Waits until each entry answers a chat request and reaches all endpoints.
    /// Returns at once if there are no engines.
    pub fn wait_until_ready(&self) {
        if self.engines.is_empty() {
            return;
        }
        for i in 0..self.entries.len() {
            wait::until("the entry answers a chat request", || {
                self.send_chat(i).is_ok_and(|answer| answer.status == 200)
            });
            // An entry answers once it is connected to one endpoint; tests need all.
            wait::until("the entry reaches all endpoints", || {
                let status = operator::status(self, i);
                let endpoints = status["endpoints"].as_array();
                let accepting = |row: &&Value| row["accepting"] == true;
                let reached = endpoints.map_or(0, |rows| rows.iter().filter(accepting).count());
                reached >= self.sidecars.len() + self.service_sidecars.len()
            });
        }
    }
}

fn tcp_proxy(target: SocketAddr) -> TcpProxy {
    block_on(TcpProxy::bind(isolation::free_addr(), target, &traffic())).unwrap()
}

fn udp_proxy(target: SocketAddr) -> UdpProxy {
    block_on(UdpProxy::bind(isolation::free_addr(), target, &traffic())).unwrap()
}
