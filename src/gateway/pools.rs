//! Pools of connections to endpoints.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::direct;
use crate::http;
use crate::ids;
use crate::runtime;
use crate::units;

/// Time limit for a new connection. A round trip takes a few milliseconds, and an
/// unresponsive endpoint must leave time for an attempt at another.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum connection limit per endpoint, however many entries share its capacity.
const MIN_CONNECTIONS: usize = 4;

/// Divisor of the memory for all answers that yields the part of one endpoint, so that a
/// faulty one does not take that of the others.
const ENDPOINT_PART: usize = 4;

/// One pool of connections for each endpoint and address.
#[derive(Debug)]
pub struct Pools {
    traffic: runtime::Traffic,
    /// Memory for the answers of all endpoints.
    answers: Arc<http::BufferBudget>,
    clients: Mutex<HashMap<(ids::EndpointId, SocketAddr), http::Client>>,
}

impl Pools {
    /// Creates an empty set of pools, with `answers` as the memory for the answers of all
    /// endpoints.
    #[must_use]
    pub fn new(traffic: runtime::Traffic, answers: units::Bytes) -> Self {
        Self {
            traffic,
            answers: http::BufferBudget::new(answers),
            clients: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(ids::EndpointId, SocketAddr), http::Client>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the client of an endpoint. Its connection limit is this entry's `share` of
    /// `max_connections`, which all entries use together.
    #[must_use]
    pub fn client(
        &self,
        record: &direct::EndpointRecord,
        max_connections: u32,
        share: units::Share,
    ) -> http::Client {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let part = (f64::from(max_connections) * share.get()) as usize;
        let max_connections = part.max(MIN_CONNECTIONS);
        let key = (record.id.clone(), record.addr);
        if let Some(client) = self.lock().get(&key) {
            client.set_max_connections(max_connections);
            return client.clone();
        }
        let limits = http::ClientLimits {
            connect_timeout: CONNECT_TIMEOUT,
            max_connections,
            budget: Some(self.answers.part(ENDPOINT_PART)),
        };
        let client = http::Client::with_limits(record.addr, self.traffic.clone(), limits);
        self.lock().insert(key, client.clone());
        client
    }

    /// Runs a task that is independent of any request, on the traffic threads.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.traffic.spawn(task).detach();
    }

    /// Removes the pools of endpoints that are not in the snapshot, and closes
    /// connections whose idle time has passed.
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
