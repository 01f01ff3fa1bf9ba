//! State of a stand-in engine: batch, queue, warm-up, prefix cache and counters.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use smol::channel::{self, Receiver, Sender};

use crate::ids;
use crate::standin::engine_profile;
use crate::standin::prefix_cache;

/// Counters of a stand-in engine since its creation; restarts keep them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineStats {
    /// Requests received, including those that crashed the engine.
    pub requests: u64,
    /// Requests that were answered completely.
    pub answered: u64,
    /// Running requests that ended before their answer was complete.
    pub cancelled: u64,
    /// Requests of which a prompt prefix was in the cache.
    pub cache_hits: u64,
    /// Crashes caused by more concurrent requests than a cold engine tolerates.
    pub overloads: u64,
    /// Crashes caused by a poison request.
    pub crashes: u64,
    /// Orders refused because of an outdated fencing number.
    pub stale_orders: u64,
    /// Orders accepted; loads may still fail later.
    pub orders: u64,
    /// Version loads that the weight store did not complete.
    pub failed_loads: u64,
    /// Maximum of concurrent requests while cold, queued ones included.
    pub cold_peak: u32,
    /// Maximum of concurrent requests, queued ones included.
    pub peak: u32,
}

/// How often a request was started and answered on one version.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Served {
    /// The version that the request named.
    pub version: ids::VersionName,
    /// The messages, which identify the request.
    pub messages: Value,
    /// Number of attempts started.
    pub started: u64,
    /// Number of complete answers.
    pub answered: u64,
}

/// The engine's status report, served on `GET /status`.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Status {
    boot: Arc<str>,
    versions: Vec<ids::VersionName>,
    running: u32,
    queued: usize,
}

/// Admission of a request into the engine's queue.
#[derive(Clone, Copy, Debug)]
pub struct Ticket {
    /// The engine's restart count at admission; older tickets no longer hold a slot.
    pub epoch: u64,
    /// Whether a prefix of the prompt was in the cache.
    pub cached: bool,
}

/// A request that crashes the engine: it is poison or exceeds the cold limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCrash;

#[derive(Clone, Copy, Debug)]
enum WarmUp {
    Warm,
    Cold { answers: u32, since: Instant },
}

/// Mutable state of the engine, guarded by the lock of `Engine`.
#[derive(Debug)]
pub struct Core {
    pub(super) profile: engine_profile::EngineProfile,
    pub(super) versions: Vec<ids::VersionName>,
    pub(super) fence: ids::Fence,
    pub(super) stats: EngineStats,
    /// Whether the engine was killed and not yet restarted.
    pub(super) down: bool,
    boot: Arc<str>,
    epoch: u64,
    running: u32,
    queue: BTreeMap<(i64, u64), Sender<()>>,
    arrival_count: u64,
    warm_up: WarmUp,
    cache: prefix_cache::PrefixCache,
    served: HashMap<(ids::VersionName, String), Served>,
    cached_status: Option<(Instant, Status)>,
}

fn new_boot() -> Arc<str> {
    format!("{:016x}", fastrand::u64(..)).into()
}

impl Core {
    pub(super) fn new(profile: engine_profile::EngineProfile) -> Self {
        let mut core = Self {
            versions: profile.versions.clone(),
            profile,
            fence: ids::Fence::default(),
            stats: EngineStats::default(),
            down: false,
            boot: new_boot(),
            epoch: 0,
            running: 0,
            queue: BTreeMap::new(),
            arrival_count: 0,
            warm_up: WarmUp::Warm,
            cache: prefix_cache::PrefixCache::default(),
            served: HashMap::new(),
            cached_status: None,
        };
        core.turn_cold();
        core
    }

    /// Clears the cache and restarts the warm-up, without a new boot id.
    pub(super) fn turn_cold(&mut self) {
        self.cache = prefix_cache::PrefixCache::default();
        if self.profile.cold.is_some() {
            self.warm_up = WarmUp::Cold {
                answers: 0,
                since: Instant::now(),
            };
        }
    }

    /// Restarts cold, with a new boot id; forgets all running and queued requests.
    pub(super) fn restart(&mut self) {
        self.boot = new_boot();
        self.epoch += 1;
        self.running = 0;
        self.queue.clear();
        self.turn_cold();
    }

    /// Returns whether the engine is cold; ends the warm-up once its answers or
    /// its time are reached.
    pub(super) fn is_cold(&mut self) -> bool {
        let (WarmUp::Cold { answers, since }, Some(cold)) = (self.warm_up, self.profile.cold)
        else {
            return false;
        };
        if answers >= cold.answers || since.elapsed() >= cold.warm_ms.duration() {
            self.warm_up = WarmUp::Warm;
            return false;
        }
        true
    }

    /// Returns the status, which may be as old as the profile's `status_lag_ms`.
    pub(super) fn status(&mut self) -> Status {
        let lag = self.profile.status_lag_ms.duration();
        if let Some((at, status)) = &self.cached_status
            && at.elapsed() < lag
        {
            return status.clone();
        }
        let status = Status {
            boot: Arc::clone(&self.boot),
            versions: self.versions.clone(),
            running: self.running,
            queued: self.queue.len(),
        };
        self.cached_status = Some((Instant::now(), status.clone()));
        status
    }

    /// Admits a request. The receiver yields once the request has a batch slot
    /// and is closed if the engine restarts before that.
    pub(super) fn accept(
        &mut self,
        version: &ids::VersionName,
        messages: &Value,
        priority: i64,
    ) -> Result<(Ticket, Receiver<()>), EngineCrash> {
        self.stats.requests += 1;
        self.entry(version, messages).started += 1;
        if self.is_poison(messages) {
            self.stats.crashes += 1;
            return Err(EngineCrash);
        }
        let concurrent = self.running + u32::try_from(self.queue.len()).unwrap_or(u32::MAX) + 1;
        self.stats.peak = self.stats.peak.max(concurrent);
        if self.is_cold() {
            self.stats.cold_peak = self.stats.cold_peak.max(concurrent);
            if self
                .profile
                .cold
                .is_some_and(|cold| concurrent > cold.bears)
            {
                self.stats.overloads += 1;
                return Err(EngineCrash);
            }
        }
        let cached = self
            .cache
            .lookup_and_insert(version, messages, self.profile.cache_entries);
        self.stats.cache_hits += u64::from(cached);
        let ticket = Ticket {
            epoch: self.epoch,
            cached,
        };
        Ok((ticket, self.enqueue(priority)))
    }

    fn enqueue(&mut self, priority: i64) -> Receiver<()> {
        let (tx, rx) = channel::bounded(1);
        self.arrival_count += 1;
        self.queue.insert((priority, self.arrival_count), tx);
        self.start_queued();
        rx
    }

    fn start_queued(&mut self) {
        while self.running < self.profile.slots {
            let Some((_, tx)) = self.queue.pop_first() else {
                return;
            };
            // Fails if the caller abandoned the request while it was queued.
            if tx.try_send(()).is_ok() {
                self.running += 1;
            }
        }
    }

    /// Frees the slot of a running request; ignored if the engine has restarted since.
    pub(super) fn release_slot(&mut self, epoch: u64) {
        if epoch == self.epoch {
            self.running -= 1;
            self.start_queued();
        }
    }

    /// Counts a complete answer, also towards the warm-up.
    pub(super) fn answered(&mut self, version: &ids::VersionName, messages: &Value) {
        self.stats.answered += 1;
        self.entry(version, messages).answered += 1;
        if let WarmUp::Cold { answers, .. } = &mut self.warm_up {
            *answers += 1;
        }
    }

    fn entry(&mut self, version: &ids::VersionName, messages: &Value) -> &mut Served {
        self.served
            .entry((version.clone(), messages.to_string()))
            .or_insert_with(|| Served {
                version: version.clone(),
                messages: messages.clone(),
                started: 0,
                answered: 0,
            })
    }

    fn is_poison(&self, messages: &Value) -> bool {
        self.profile
            .poison
            .as_ref()
            .is_some_and(|marker| messages.to_string().contains(marker.as_ref()))
    }

    /// Returns the time to the next token at the current batch size.
    pub(super) fn between_tokens(&self) -> Duration {
        let base = self.profile.between_tokens_ms.duration();
        let batch = self.profile.batch.max(1);
        base * self.running.max(batch) / batch
    }

    pub(super) fn served(&self) -> Vec<Served> {
        self.served.values().cloned().collect()
    }
}
