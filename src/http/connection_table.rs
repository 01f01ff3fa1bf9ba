//! Account of what the connections of a server hold, from accept to the last byte.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use smol::channel;
use smol::future;

use crate::http;
use crate::http::{connection, connection_row, eviction};
use crate::observe;
use crate::runtime;
use crate::units;

slotmap::new_key_type! {
    /// Key of an open connection.
    pub struct ConnectionKey;
}

/// Maximum wait for evicted connections to release their memory.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);
/// Divisor of the budget that yields the memory freed at a time, so that one choice among
/// all connections serves several requests.
const FREED_PART: u64 = 32;
/// Pause after a choice that found nobody to close, so that a crowd that finds no memory
/// does not cause a search among all connections for each of its requests.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// Minimum interval between log lines about evicted connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The open connections of a server, with what each holds.
#[derive(Debug)]
pub struct ConnectionTable {
    /// Memory for all connections and requests; `None` if it is not limited.
    budget: Option<Arc<http::BufferBudget>>,
    rows: Mutex<SlotMap<ConnectionKey, connection_row::Row>>,
    log: Mutex<EvictionLog>,
    /// The last search for memory that found nobody to close.
    failed_search: Mutex<Option<FailedSearch>>,
}

#[derive(Clone, Copy, Debug)]
struct FailedSearch {
    at: Instant,
    need: units::Bytes,
}

#[derive(Debug, Default)]
struct EvictionLog {
    last: Option<Instant>,
    closed: u64,
}

impl ConnectionTable {
    /// Creates a table without connections.
    #[must_use]
    pub fn new(budget: Option<Arc<http::BufferBudget>>) -> Arc<Self> {
        Arc::new(Self {
            budget,
            rows: Mutex::default(),
            log: Mutex::default(),
            failed_search: Mutex::default(),
        })
    }

    /// Returns the memory for all connections and requests; `None` if it is not limited.
    #[must_use]
    pub const fn budget(&self) -> Option<&Arc<http::BufferBudget>> {
        self.budget.as_ref()
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, connection_row::Row>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection, and evicts others if it finds no memory. Returns `None` if there
    /// is none to be had; the connection is then to be closed.
    pub async fn open(self: &Arc<Self>) -> Option<connection::Connection> {
        let now = Instant::now();
        let (evicted, evictions) = channel::bounded(1);
        let reservation = self.budget.as_ref().map(http::BufferBudget::begin);
        let mut row = connection_row::Row::new(reservation, evicted, now);
        if !row.reserve() {
            if !self.evict_for_memory(row.shortfall()) {
                return None;
            }
            // Lets the evicted connections close.
            future::yield_now().await;
            if !row.reserve() {
                return None;
            }
        }
        let key = self.lock().insert(row);
        Some(connection::Connection::new(
            Arc::clone(self),
            key,
            evictions,
        ))
    }

    /// Evicts the connection that makes room for a new one. Returns false if there is none.
    pub fn evict_for_connection(&self) -> bool {
        let now = Instant::now();
        let mut rows = self.lock();
        let chosen = eviction::for_connection(candidates(&rows, now));
        chosen.is_some_and(|key| {
            self.evict(&mut rows, key, now, http::CloseReason::Connections);
            true
        })
    }

    /// Evicts connections that hold at least `need` bytes together, if there are such.
    /// Returns whether any was evicted.
    pub(super) fn evict_for_memory(&self, need: units::Bytes) -> bool {
        let Some(budget) = &self.budget else {
            return false;
        };
        let now = Instant::now();
        let mut failed = self
            .failed_search
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if failed.is_some_and(|last| now - last.at < SEARCH_PAUSE && need >= last.need) {
            return false;
        }
        let target = units::Bytes(budget.limit().0 / FREED_PART);
        let mut rows = self.lock();
        let chosen = eviction::for_memory(candidates(&rows, now), need, target);
        for key in &chosen {
            self.evict(&mut rows, *key, now, http::CloseReason::Memory);
        }
        *failed = chosen.is_empty().then_some(FailedSearch { at: now, need });
        !chosen.is_empty()
    }

    fn evict(
        &self,
        rows: &mut SlotMap<ConnectionKey, connection_row::Row>,
        key: ConnectionKey,
        now: Instant,
        reason: http::CloseReason,
    ) {
        if let Some(row) = rows.get_mut(key) {
            row.evict();
            self.record_close(reason, &row.candidate(key, now));
        }
    }

    pub(super) fn record_close(
        &self,
        reason: http::CloseReason,
        candidate: &eviction::Candidate<ConnectionKey>,
    ) {
        observe::metrics().record_connection_closed(reason.into());
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.closed += 1;
        let now = Instant::now();
        if log.last.is_some_and(|last| now - last < LOG_INTERVAL) {
            return;
        }
        log::info!(target: "process", reason:% = reason, activity:% = candidate.activity,
            held:% = candidate.held, stalled_ms:% = candidate.stalled.as_millis(),
            closed = log.closed; "connections closed that made no progress");
        *log = EvictionLog {
            last: Some(now),
            closed: 0,
        };
    }

    /// Evicts connections that hold `need` bytes, and calls `attempt` at each release of
    /// memory until it returns true, for a limited time. Returns whether it did.
    pub(super) async fn make_room(
        &self,
        need: units::Bytes,
        mut attempt: impl FnMut() -> bool,
    ) -> bool {
        let Some(budget) = &self.budget else {
            return attempt();
        };
        if need == units::Bytes(0) && attempt() {
            return true;
        }
        if !self.evict_for_memory(need) {
            return attempt();
        }
        let reserve = async {
            loop {
                let released = budget.released();
                if attempt() {
                    return;
                }
                released.await;
            }
        };
        let reserved = runtime::timeout_at(Instant::now() + RELEASE_TIMEOUT, reserve).await;
        reserved.is_some()
    }
}

fn candidates(
    rows: &SlotMap<ConnectionKey, connection_row::Row>,
    now: Instant,
) -> impl Iterator<Item = eviction::Candidate<ConnectionKey>> {
    rows.iter()
        .filter(|(_, row)| !row.is_evicted())
        .map(move |(key, row)| row.candidate(key, now))
}
