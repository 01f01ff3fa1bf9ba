//! State of a stand-in engine: batch, queue, warmth, cache and counts.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use smol::channel::{self, Receiver, Sender};

use crate::ids;
use crate::standin::engine_profile;
use crate::standin::prefix_cache;

/// Counts of a stand-in engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineStats {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered to their end.
    pub answered: u64,
    /// Requests given up by their caller.
    pub cancelled: u64,
    /// Requests whose prompt began in the cache.
    pub cache_hits: u64,
    /// Failures for more load than a cold engine bears.
    pub overloads: u64,
    /// Crashes by a poison request.
    pub crashes: u64,
    /// Orders refused for an old fencing number.
    pub stale_orders: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Most requests at a time while cold.
    pub cold_peak: u32,
    /// Most requests at a time.
    pub peak: u32,
}

/// How often a request ran on a version.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Served {
    /// The version.
    pub version: ids::VersionName,
    /// The messages of the request.
    pub messages: Value,
    /// Times that it was begun.
    pub started: u64,
    /// Times that it was answered to its end.
    pub answered: u64,
}

/// What the engine says of itself.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Status {
    boot: Arc<str>,
    versions: Vec<ids::VersionName>,
    running: u32,
    queued: usize,
}

/// A request that the engine accepted.
#[derive(Clone, Copy, Debug)]
pub struct Ticket {
    /// The run of the engine that accepted it.
    pub epoch: u64,
    /// Whether the cache held a beginning of the prompt.
    pub cached: bool,
}

/// Why a request brings the engine down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fatal;

#[derive(Clone, Copy, Debug)]
enum Warmth {
    Warm,
    Cold { answers: u32, since: Instant },
}

/// State of the engine.
#[derive(Debug)]
pub struct Core {
    pub(super) profile: engine_profile::EngineProfile,
    pub(super) versions: Vec<ids::VersionName>,
    pub(super) fence: ids::Fence,
    pub(super) stats: EngineStats,
    /// Whether the engine was killed and has not started again.
    pub(super) down: bool,
    boot: Arc<str>,
    epoch: u64,
    running: u32,
    waiting: BTreeMap<(i64, u64), Sender<()>>,
    arrivals: u64,
    warmth: Warmth,
    cache: prefix_cache::PrefixCache,
    served: HashMap<(ids::VersionName, String), Served>,
    reported: Option<(Instant, Status)>,
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
            waiting: BTreeMap::new(),
            arrivals: 0,
            warmth: Warmth::Warm,
            cache: prefix_cache::PrefixCache::default(),
            served: HashMap::new(),
            reported: None,
        };
        core.turn_cold();
        core
    }

    /// Forgets the cache and needs to warm up again, without a new boot id.
    pub(super) fn turn_cold(&mut self) {
        self.cache = prefix_cache::PrefixCache::default();
        if self.profile.cold.is_some() {
            self.warmth = Warmth::Cold {
                answers: 0,
                since: Instant::now(),
            };
        }
    }

    /// Starts again: forgets all requests and is cold.
    pub(super) fn restart(&mut self) {
        self.boot = new_boot();
        self.epoch += 1;
        self.running = 0;
        self.waiting.clear();
        self.turn_cold();
    }

    pub(super) fn is_cold(&mut self) -> bool {
        let (Warmth::Cold { answers, since }, Some(cold)) = (self.warmth, self.profile.cold) else {
            return false;
        };
        if answers >= cold.answers || since.elapsed() >= cold.warm_ms.duration() {
            self.warmth = Warmth::Warm;
            return false;
        }
        true
    }

    /// The status, which may be as old as the profile's lag.
    pub(super) fn status(&mut self) -> Status {
        let lag = self.profile.status_lag_ms.duration();
        if let Some((at, status)) = &self.reported
            && at.elapsed() < lag
        {
            return status.clone();
        }
        let status = Status {
            boot: Arc::clone(&self.boot),
            versions: self.versions.clone(),
            running: self.running,
            queued: self.waiting.len(),
        };
        self.reported = Some((Instant::now(), status.clone()));
        status
    }

    /// Accepts a request with the receiver that tells when it may run.
    pub(super) fn accept(
        &mut self,
        version: &ids::VersionName,
        messages: &Value,
        priority: i64,
    ) -> Result<(Ticket, Receiver<()>), Fatal> {
        self.stats.requests += 1;
        self.entry(version, messages).started += 1;
        if self.is_poison(messages) {
            self.stats.crashes += 1;
            return Err(Fatal);
        }
        let present = self.running + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX) + 1;
        self.stats.peak = self.stats.peak.max(present);
        if self.is_cold() {
            self.stats.cold_peak = self.stats.cold_peak.max(present);
            if self.profile.cold.is_some_and(|cold| present > cold.bears) {
                self.stats.overloads += 1;
                return Err(Fatal);
            }
        }
        let cached = self
            .cache
            .use_prompt(version, messages, self.profile.cache_entries);
        self.stats.cache_hits += u64::from(cached);
        let ticket = Ticket {
            epoch: self.epoch,
            cached,
        };
        Ok((ticket, self.enqueue(priority)))
    }

    fn enqueue(&mut self, priority: i64) -> Receiver<()> {
        let (tx, rx) = channel::bounded(1);
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals), tx);
        self.start_waiting();
        rx
    }

    fn start_waiting(&mut self) {
        while self.running < self.profile.slots {
            let Some((_, tx)) = self.waiting.pop_first() else {
                return;
            };
            // Fails where the request was given up while it waited.
            if tx.try_send(()).is_ok() {
                self.running += 1;
            }
        }
    }

    /// Ends a running request.
    pub(super) fn leave(&mut self, epoch: u64) {
        if epoch == self.epoch {
            self.running -= 1;
            self.start_waiting();
        }
    }

    /// Counts a whole answer.
    pub(super) fn answered(&mut self, version: &ids::VersionName, messages: &Value) {
        self.stats.answered += 1;
        self.entry(version, messages).answered += 1;
        if let Warmth::Cold { answers, .. } = &mut self.warmth {
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

    /// Time to the next token with the present batch.
    pub(super) fn between_tokens(&self) -> Duration {
        let base = self.profile.between_tokens_ms.duration();
        let batch = self.profile.batch.max(1);
        base * self.running.max(batch) / batch
    }

    pub(super) fn served(&self) -> Vec<Served> {
        self.served.values().cloned().collect()
    }
}
