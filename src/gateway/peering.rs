//! What an entry serves to other entries, and what its tasks need to share reads.

use std::sync::Arc;

use smol::Task;

use crate::direct;
use crate::http;
use crate::peers;
use crate::platform;
use crate::runtime;
use crate::settings;
use crate::units;

/// Maximum number of connections of other entries: those of 16 followers, four each, twice.
const MAX_CONNECTIONS: usize = 128;
/// Fraction of the memory of the process for the connections and requests of other entries.
const PEERS_MEMORY: f64 = 0.08;

/// A running listener for other entries. Dropping it stops it.
#[derive(Debug)]
pub struct Peering {
    relays: Arc<peers::Relays>,
    rounds: peers::EvidenceRounds,
    traffic: runtime::Traffic,
    server: http::Server,
    _rounds: Task<()>,
}

impl Peering {
    /// Starts to serve other entries. Returns `None` where the settings have no address for
    /// them, or it is taken: the entry then neither reads for others nor follows them.
    pub async fn bind(
        settings: &settings::Direct,
        store: &platform::StoreClient,
        traffic: &runtime::Traffic,
    ) -> Option<Self> {
        let addr = settings.peer_addr?;
        let limits = settings::Limits {
            max_connections: MAX_CONNECTIONS,
            ..settings::Limits::default()
        };
        let relays = Arc::new(peers::Relays::default());
        let (rounds, queue) = peers::EvidenceRounds::new();
        let part = settings.traffic_memory(units::Bytes(0), PEERS_MEMORY);
        let memory = http::BufferBudget::counting_all(part);
        let handler = Arc::new(peers::PeerHandler {
            memory: Arc::clone(&memory),
            relays: Arc::clone(&relays),
            rounds: rounds.clone(),
        });
        let server = http::Server::bind_within(addr, limits, traffic, handler, memory)
            .await
            .inspect_err(|err| {
                log::warn!(target: "peers", addr:% = addr, error:% = err;
                    "address for other entries cannot be bound, reads are not shared");
            })
            .ok()?;
        Some(Self {
            relays,
            rounds,
            traffic: traffic.clone(),
            server,
            _rounds: traffic.spawn(peers::run_rounds(store.clone(), queue)),
        })
    }

    /// Returns how this entry appears to the others.
    #[must_use]
    pub fn member(&self, settings: &settings::Direct) -> peers::Member {
        peers::Member {
            vm: settings.vm.clone(),
            place: Some((settings.domain.clone(), self.server.addr())),
        }
    }

    /// Returns what the task that follows a topic needs.
    #[must_use]
    pub fn reads(&self, source: direct::Source, bounds: &settings::Bounds) -> direct::SharedReads {
        direct::SharedReads {
            relays: Arc::clone(&self.relays),
            limits: peers::FollowLimits::new(source, bounds),
            traffic: self.traffic.clone(),
        }
    }

    /// Returns what the task that exchanges the results of rollouts needs.
    #[must_use]
    pub fn exchange(&self, settings: &settings::Direct) -> direct::SharedExchange {
        direct::SharedExchange {
            vm: settings.vm.clone(),
            rounds: self.rounds.clone(),
            traffic: self.traffic.clone(),
        }
    }
}
