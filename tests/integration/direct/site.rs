//! Test site: a process in the direct role, with a store and endpoints.

use std::fs;
use std::net::SocketAddr;

use hyper::Method;
use quetzalworks::http::HttpError;
use quetzalworks::platform::{endpoint_record, operator};
use quetzalworks::standin::StandinLog;
use serde_json::{Value, json};

use crate::direct::endpoint::Endpoint;
use crate::direct::world::{SETTINGS, config, entry};
use crate::testing::process::Process;
use crate::testing::{http, isolation, wait};

pub struct Site {
    pub store: StandinLog,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub process: Process,
}

impl Site {
    /// Starts a process for these endpoints and waits until it is ready.
    pub fn spawn(endpoints: &[(&str, &Endpoint)]) -> Self {
        Self::with_config(endpoints, &config(1))
    }

    pub fn with_config(endpoints: &[(&str, &Endpoint)], config: &Value) -> Self {
        let traffic = http::traffic();
        let store = smol::block_on(StandinLog::bind(isolation::free_addr(), &traffic)).unwrap();
        store.put(
            operator::TOPIC,
            "config",
            Some(config.to_string().as_bytes()),
        );
        for (service, endpoint) in endpoints {
            put_endpoint(&store, service, endpoint, 1);
        }
        let entry = Entry::spawn(NAME, store.addr());
        let site = Self {
            store,
            callers: entry.callers,
            readiness: entry.readiness,
            process: entry.process,
        };
        wait::until("the process is ready", || site.is_ready());
        site
    }

    /// Starts another entry on the same store. Returns its process and its address for
    /// callers.
    pub fn spawn_entry(&self) -> (Process, SocketAddr) {
        let entry = self.start_entry("edge-north-2");
        wait::until("the other process is ready", || is_ready(entry.readiness));
        (entry.process, entry.callers)
    }

    /// Starts another entry on the same store, which is not ready yet.
    pub fn start_entry(&self, name: &str) -> Entry {
        Entry::spawn(name, self.store.addr())
    }

    pub fn is_ready(&self) -> bool {
        is_ready(self.readiness)
    }

    pub fn put_config(&self, config: &Value) {
        let value = config.to_string();
        self.store
            .put(operator::TOPIC, "config", Some(value.as_bytes()));
    }

    /// Sends a request with the key of team `red`.
    pub fn call(&self, method: &Method, path: &str, id: &str) -> Result<http::Answer, HttpError> {
        self.call_with(method, path, id, &[("key", "key-red")])
    }

    pub fn call_with(
        &self,
        method: &Method,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Result<http::Answer, HttpError> {
        Self::call_at(self.callers, method, path, id, headers)
    }

    /// Sends a request with this body.
    pub fn call_with_body(
        &self,
        method: &Method,
        path: &str,
        id: &str,
        body: &[u8],
    ) -> Result<http::Answer, HttpError> {
        let headers = [
            ("host", "example.test"),
            ("attempt-id", id),
            ("deadline-ms", "4000"),
            ("key", "key-red"),
            ("model", "*"),
            ("token-count", "100,20"),
            ("prefix-hash", "0a:60,0b:40"),
        ];
        http::send(self.callers, method, path, &headers, body)
    }

    /// Sends a request to the entry at `callers`.
    pub fn call_at(
        callers: SocketAddr,
        method: &Method,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Result<http::Answer, HttpError> {
        let mut all = vec![
            ("host", "example.test"),
            ("attempt-id", id),
            ("deadline-ms", "4000"),
        ];
        all.extend_from_slice(headers);
        http::send(callers, method, path, &all, b"body of the request")
    }

    /// Sends a chat request, which is answered with a stream of events.
    pub fn chat(&self, id: &str) -> Result<http::Answer, HttpError> {
        Self::chat_at(self.callers, id)
    }

    /// Sends a chat request to the entry at `callers`.
    pub fn chat_at(callers: SocketAddr, id: &str) -> Result<http::Answer, HttpError> {
        let headers = [
            ("key", "key-red"),
            ("model", "*"),
            ("token-count", "100,20"),
            ("prefix-hash", "0a:60,0b:40"),
        ];
        Self::call_at(callers, &Method::POST, "/chat/x?y=z", id, &headers)
    }
}

/// Writes the record of a ready endpoint to the store.
pub fn put_endpoint(store: &StandinLog, service: &str, endpoint: &Endpoint, sequence: u64) {
    put_record(
        store,
        service,
        endpoint.id,
        endpoint.addr,
        "ready",
        sequence,
    );
}

/// Writes the record of an endpoint to the store, with the given address and state.
pub fn put_record(
    store: &StandinLog,
    service: &str,
    id: &str,
    addr: SocketAddr,
    state: &str,
    sequence: u64,
) {
    let mut value = entry(service, "v1", sequence);
    value["Address"] = json!(addr);
    value["State"] = state.into();
    let value = value.to_string();
    store.put(endpoint_record::TOPIC, id, Some(value.as_bytes()));
}

/// Number of records in a page of a listing.
pub const PAGE: usize = 500;

/// Writes one record of another writer, whose name begins so.
pub fn put_odd(store: &StandinLog, topic: &str, begin: &[u8], i: usize) {
    let key = [begin, format!("{i:03}").as_bytes()].concat();
    store.put(topic, key, Some(b"{\"of\":\"another writer\"}"));
}

/// Default name of an entry, as in the settings.
pub const NAME: &str = "edge-north-1";

/// A process in the direct role, with its listen addresses.
pub struct Entry {
    pub process: Process,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

impl Entry {
    /// Starts a process that uses the store at `store`.
    pub fn spawn(name: &str, store: SocketAddr) -> Self {
        Self::spawn_with(name, store, "")
    }

    /// Like `spawn`, with further tables at the end of the settings.
    pub fn spawn_with(name: &str, store: SocketAddr, tables: &str) -> Self {
        let (callers, readiness) = (isolation::free_addr(), isolation::free_addr());
        let settings = SETTINGS
            .replace(NAME, name)
            .replace("127.0.0.1:1", &callers.to_string())
            .replace("127.0.0.1:2", &readiness.to_string())
            .replace("127.0.0.1:3", &store.to_string());
        Self::with_settings(&(settings + tables), callers, readiness)
    }

    /// Starts a process that shares reads with others. The drain limit is long enough that a
    /// busy machine does not make it read for itself.
    pub fn spawn_peer(name: &str, peers: SocketAddr, store: SocketAddr) -> Self {
        let (callers, readiness) = (isolation::free_addr(), isolation::free_addr());
        let shared = format!(
            "Ip = \"{}\"\nInternalPorts = [{}, {}]\n",
            peers.ip(),
            peers.port(),
            peers.port()
        );
        let settings = SETTINGS
            .replace(NAME, name)
            .replace("127.0.0.1:1", &callers.to_string())
            .replace("127.0.0.1:2", &readiness.to_string())
            .replace("127.0.0.1:3", &store.to_string())
            .replace("DrainMs = 2000", "DrainMs = 8000");
        Self::with_settings(&(shared + &settings), callers, readiness)
    }

    fn with_settings(settings: &str, callers: SocketAddr, readiness: SocketAddr) -> Self {
        let path = isolation::create_test_dir().join("settings.toml");
        fs::write(&path, settings).unwrap();
        Self {
            process: Process::spawn(path),
            callers,
            readiness,
        }
    }
}

pub fn is_ready(readiness: SocketAddr) -> bool {
    http::send(readiness, &Method::GET, "/ready", &[], b"").is_ok_and(|answer| answer.status == 200)
}
