//! Processes, endpoints, links and store of one soak.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quetzalworks::ids::Offset;
use quetzalworks::platform::{endpoint_record, operator};
use quetzalworks::standin::{LogCopy, StandinLog, TcpProxy};
use serde_json::{Value, json};

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::{self, PAGE};
use crate::direct::world::config;
use crate::soak::backend::RandomBehaviour;
use crate::soak::callers::BLUE;
use crate::testing::process::Process;
use crate::testing::{http, isolation};

/// Id and service of each endpoint.
const ENDPOINTS: [(&str, &str); 6] = [
    ("desk-1", "desk"),
    ("desk-2", "desk"),
    ("desk-3", "desk"),
    ("writer-1", "writer"),
    ("writer-2", "writer"),
    ("writer-3", "writer"),
];
/// Time between an entry's exit and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// State of an entry's process, as the soak expects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    /// A planned stop was started.
    Stopping,
    /// The process was killed and its exit is not yet observed.
    Killed,
    /// The process has exited and waits for its restart.
    Down {
        since: Instant,
    },
}

/// An entry process with its links.
pub struct Node {
    pub process: Process,
    /// Proxy between the callers and the entry.
    pub link: TcpProxy,
    /// Address that serves the readiness check.
    pub readiness: SocketAddr,
    /// Proxy between the entry and the store.
    pub store: TcpProxy,
    pub state: ProcessState,
    /// Start of the planned stop, or of its continuation after the last freeze.
    pub stopping_since: Instant,
    /// Whether the process was killed at some time, which loses the end of its log.
    pub is_log_incomplete: bool,
}

/// An endpoint with its link.
pub struct BackEnd {
    pub service: &'static str,
    pub endpoint: Endpoint,
    /// Proxy between the entries and the endpoint.
    pub link: TcpProxy,
    /// Whether it has drained and left permanently.
    pub has_left: bool,
}

/// Tables of the entries, endpoints and records of a soak.
pub struct Site {
    pub store: StandinLog,
    pub nodes: Vec<Node>,
    pub back_ends: Vec<BackEnd>,
    pub draw: RandomBehaviour,
    config: Value,
    /// Number of records put to the topics of operator and endpoints, in this order.
    puts: [u64; 2],
    /// Copy from which the store is to come back; `None` if it is not.
    copy: Option<LogCopy>,
}

fn proxy(target: SocketAddr) -> TcpProxy {
    smol::block_on(TcpProxy::bind(
        isolation::free_addr(),
        target,
        &http::traffic(),
    ))
    .unwrap()
}

impl Site {
    /// Starts store, endpoints and entries, and publishes configuration and endpoints.
    pub fn spawn(entries: usize, draw: RandomBehaviour) -> Self {
        let traffic = http::traffic();
        let mut site = Self {
            store: smol::block_on(StandinLog::bind(isolation::free_addr(), &traffic)).unwrap(),
            nodes: Vec::new(),
            back_ends: Vec::new(),
            config: config(1),
            puts: [0; 2],
            copy: None,
            draw,
        };
        let tenant = json!({ "Name": BLUE.0, "ApiKeys": [BLUE.1], "Priority": 2 });
        site.config["Tenants"].as_array_mut().unwrap().push(tenant);
        site.put_config();
        // Records of another writer fill the first page of each listing.
        for i in 0..PAGE {
            site::put_odd(&site.store, endpoint_record::TOPIC, b"&", i);
        }
        site.puts[1] = PAGE as u64;
        for (id, service) in ENDPOINTS {
            let endpoint = Endpoint::spawn(id, &[], Behaviour::Random(site.draw.clone()));
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
            state: ProcessState::Running,
            stopping_since: Instant::now(),
            is_log_incomplete: false,
        }
    }

    fn put_config(&mut self) {
        let value = self.config.to_string();
        self.store
            .put(operator::TOPIC, "config", Some(value.as_bytes()));
        self.puts[0] += 1;
    }

    /// Writes the record in which an endpoint reports its state; `None` removes it.
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

    /// Changes the configuration; the store has acknowledged it on return.
    pub fn change_config(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config);
        let version = self.config["Version"].as_u64().unwrap_or_default() + 1;
        self.config["Version"] = version.into();
        self.put_config();
    }

    /// Makes the copy from which the store comes back later, unless there is one.
    pub fn copy_store(&mut self) {
        self.copy.get_or_insert_with(|| self.store.copy());
    }

    /// Lets the store come back from its copy. What operator and endpoints wrote since is
    /// written again.
    pub fn restore_store(&mut self) {
        let Some(copy) = self.copy.take() else {
            return;
        };
        let topics = [operator::TOPIC, endpoint_record::TOPIC];
        let written = topics.map(|topic| self.store.newest(topic));
        self.store.restore(&copy);
        for (topic, written) in topics.into_iter().zip(written) {
            let lapsed = self.store.newest(topic).into_iter();
            for record in lapsed.filter(|old| !written.iter().any(|new| new.key == old.key)) {
                self.store.put(topic, &*record.key, None);
            }
            for record in written {
                self.store.put(topic, &*record.key, Some(&record.value));
            }
        }
    }

    /// Truncates the topics of operator and endpoints; the newest record of each key stays.
    pub fn truncate_topics(&self) {
        let topics = [operator::TOPIC, endpoint_record::TOPIC];
        for (topic, puts) in topics.into_iter().zip(self.puts) {
            self.store.retain_from(topic, Offset(puts));
        }
    }
}

impl Node {
    /// Returns whether the entry reports that it is ready.
    pub fn is_ready(&self) -> bool {
        site::is_ready(self.readiness)
    }

    /// Returns whether there is a process to which signals may be sent.
    pub fn has_process(&self) -> bool {
        !matches!(self.state, ProcessState::Down { .. })
    }

    /// Restarts the process once it has been down for [`RESTART_DELAY`].
    pub fn restart_when_due(&mut self, now: Instant) {
        if let ProcessState::Down { since } = self.state
            && now >= since + RESTART_DELAY
        {
            self.process.restart();
            self.state = ProcessState::Running;
        }
    }
}
