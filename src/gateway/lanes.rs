//! Connections to endpoints.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::direct;
use crate::http;
use crate::ids;
use crate::runtime;

/// Time for a new connection; a round trip takes a few milliseconds, and a
/// silent endpoint must leave time for another one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Fewest connections to an endpoint.
const MIN_CONNECTIONS: usize = 4;

/// A pool of connections to each endpoint.
#[derive(Debug)]
pub struct Lanes {
    traffic: runtime::Traffic,
    clients: Mutex<HashMap<(ids::EndpointId, SocketAddr), http::Client>>,
}

impl Lanes {
    /// No connections yet.
    #[must_use]
    pub fn new(traffic: runtime::Traffic) -> Self {
        Self {
            traffic,
            clients: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(ids::EndpointId, SocketAddr), http::Client>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The client of an endpoint that accepts `max_connections` of `entries`
    /// entries together.
    #[must_use]
    pub fn client(
        &self,
        record: &direct::EndpointRecord,
        max_connections: u32,
        entries: u32,
    ) -> http::Client {
        let key = (record.id.clone(), record.addr);
        if let Some(client) = self.lock().get(&key) {
            return client.clone();
        }
        let share = usize::try_from(max_connections / entries.max(1)).unwrap_or(usize::MAX);
        let limits = http::ClientLimits {
            connect_timeout: CONNECT_TIMEOUT,
            max_connections: share.max(MIN_CONNECTIONS),
        };
        let client = http::Client::with_limits(record.addr, self.traffic.clone(), limits);
        self.lock().insert(key, client.clone());
        client
    }

    /// Runs a task that belongs to no request.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.traffic.spawn(task).detach();
    }

    /// Closes connections to endpoints that are gone and connections that were
    /// idle for too long.
    pub fn sweep(&self, snapshot: &direct::Snapshot) {
        let known: HashSet<_> = snapshot
            .services
            .values()
            .flat_map(|service| &service.endpoints)
            .map(|endpoint| (&endpoint.record.id, endpoint.record.addr))
            .collect();
        self.lock().retain(|(id, addr), client| {
            client.expire_idle();
            known.contains(&(id, *addr))
        });
    }
}
