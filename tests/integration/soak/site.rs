//! Processes, endpoints and links of one soak.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quetzalworks::ids::Offset;
use quetzalworks::platform::{endpoint_record, operator};
use quetzalworks::standin::{StandinLog, TcpProxy};
use serde_json::{Value, json};

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site;
use crate::direct::world::config;
use crate::soak::backend::Draw;
use crate::soak::callers::BLUE;
use crate::testing::process::Process;
use crate::testing::{http, place};

/// Endpoints with their services.
const ENDPOINTS: [(&str, &str); 6] = [
    ("desk-1", "desk"),
    ("desk-2", "desk"),
    ("desk-3", "desk"),
    ("writer-1", "writer"),
    ("writer-2", "writer"),
    ("writer-3", "writer"),
];
/// Pause before an entry that has ended is started again.
const RESTART_AFTER: Duration = Duration::from_millis(500);

/// What an entry's process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    Runs,
    /// It was told to stop.
    Stops,
    /// It was killed.
    Killed,
    Down {
        since: Instant,
    },
}

/// An entry.
pub struct Node {
    pub process: Process,
    /// The link from its callers.
    pub link: TcpProxy,
    pub readiness: SocketAddr,
    /// The link to the store.
    pub store: TcpProxy,
    pub life: Life,
    /// Since when it is told to stop and not frozen.
    pub stops_since: Instant,
    /// Whether it was killed at some time, and with it the end of its log.
    pub lost_log: bool,
}

/// An endpoint.
pub struct BackEnd {
    pub service: &'static str,
    pub endpoint: Endpoint,
    /// The link from the entries.
    pub link: TcpProxy,
    pub has_left: bool,
}

/// Tables of what a soak consists of.
pub struct Site {
    pub store: StandinLog,
    pub nodes: Vec<Node>,
    pub back_ends: Vec<BackEnd>,
    pub draw: Draw,
    config: Value,
    /// Records put to the topics of operator and endpoints.
    puts: [u64; 2],
}

fn proxy(target: SocketAddr) -> TcpProxy {
    smol::block_on(TcpProxy::bind(place::addr(), target, &http::traffic())).unwrap()
}

impl Site {
    pub fn spawn(entries: usize, draw: Draw) -> Self {
        let traffic = http::traffic();
        let mut site = Self {
            store: smol::block_on(StandinLog::bind(place::addr(), &traffic)).unwrap(),
            nodes: Vec::new(),
            back_ends: Vec::new(),
            config: config(1),
            puts: [0; 2],
            draw,
        };
        let tenant = json!({ "Name": BLUE.0, "ApiKeys": [BLUE.1], "Priority": 2 });
        site.config["Tenants"].as_array_mut().unwrap().push(tenant);
        site.put_config();
        for (id, service) in ENDPOINTS {
            let endpoint = Endpoint::spawn(id, &[], Behaviour::Drawn(site.draw.clone()));
            site.back_ends.push(BackEnd {
                service,
                link: proxy(endpoint.addr),
                endpoint,
                has_left: false,
            });
        }
        for i in 0..site.back_ends.len() {
            site.put_endpoint(i, Some("ready"));
        }
        site.nodes = (0..entries).map(|i| site.spawn_node(i)).collect();
        site
    }

    fn spawn_node(&self, i: usize) -> Node {
        let store = proxy(self.store.addr());
        let entry = site::Entry::spawn(&format!("edge-north-{i}"), store.addr());
        Node {
            process: entry.process,
            link: proxy(entry.callers),
            readiness: entry.readiness,
            store,
            life: Life::Runs,
            stops_since: Instant::now(),
            lost_log: false,
        }
    }

    fn put_config(&mut self) {
        let value = self.config.to_string();
        self.store
            .put(operator::TOPIC, "config", Some(value.as_bytes()));
        self.puts[0] += 1;
    }

    /// Writes what an endpoint says of itself; `None` removes it.
    pub fn put_endpoint(&mut self, i: usize, state: Option<&str>) {
        let BackEnd {
            service,
            endpoint,
            link,
            ..
        } = &self.back_ends[i];
        let (store, sequence) = (&self.store, self.puts[1] + 1);
        match state {
            Some(state) => {
                site::put_record(store, service, endpoint.id, link.addr(), state, sequence);
            }
            None => store.put(endpoint_record::TOPIC, endpoint.id, None),
        }
        self.puts[1] += 1;
    }

    /// Changes the configuration; it is acknowledged when this returns.
    pub fn change_config(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config);
        let version = self.config["Version"].as_u64().unwrap_or_default() + 1;
        self.config["Version"] = version.into();
        self.put_config();
    }

    /// Drops the history of what the operator and the endpoints wrote.
    pub fn forget(&self) {
        let topics = [operator::TOPIC, endpoint_record::TOPIC];
        for (topic, puts) in topics.into_iter().zip(self.puts) {
            self.store.retain_from(topic, Offset(puts));
        }
    }
}

impl Node {
    pub fn is_ready(&self) -> bool {
        site::is_ready(self.readiness)
    }

    /// Whether signals may be sent to it.
    pub fn is_there(&self) -> bool {
        !matches!(self.life, Life::Down { .. })
    }

    /// Starts the process again once it has been down for a while.
    pub fn restart_when_due(&mut self, now: Instant) {
        if let Life::Down { since } = self.life
            && now >= since + RESTART_AFTER
        {
            self.process.restart();
            self.life = Life::Runs;
        }
    }
}
