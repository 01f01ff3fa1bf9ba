//! Results of the versions of a service at this entry, as evidence for its rollout.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use slotmap::SlotMap;

use crate::direct;
use crate::ids;
use crate::rollout;

/// Result of one attempt at an endpoint.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Route of the request.
    pub route: ids::RouteName,
    /// Version that the endpoint runs.
    pub version: ids::VersionName,
    /// Endpoint that was tried.
    pub endpoint: ids::EndpointId,
    /// Model chosen by the router; `None` when the caller named it or the service
    /// has no models.
    pub model: Option<ids::ModelName>,
    /// How the attempt ended.
    pub outcome: rollout::AttemptOutcome,
}

slotmap::new_key_type! {
    /// Key of an attempt that waits for its answer.
    pub struct WaitingKey;
}

/// Results by route, model and version since the rollout of the service was ordered.
/// Traffic threads add samples, the control thread compares versions.
#[derive(Debug, Default)]
pub struct Evidence {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    tallies: direct::Tallies,
    /// Attempts without an answer yet, each with the time at which it began.
    waiting: SlotMap<WaitingKey, (Sample, Instant)>,
}

impl Evidence {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the result of an attempt.
    pub fn add(&self, sample: Sample) {
        self.lock().tallies.add(sample);
    }

    /// Begins to wait for the answer of an attempt; its outcome in `sample` is ignored.
    #[must_use]
    pub fn begin_waiting(&self, sample: Sample) -> WaitingKey {
        self.lock().waiting.insert((sample, Instant::now()))
    }

    /// Ends the wait with a result that is added by itself.
    pub fn end_waiting(&self, key: WaitingKey) {
        self.lock().waiting.remove(key);
    }

    /// Ends the wait without a result.
    pub fn abandon_waiting(&self, key: WaitingKey) {
        let mut state = self.lock();
        if let Some((mut sample, since)) = state.waiting.remove(key) {
            sample.outcome = rollout::AttemptOutcome::Abandoned(since.elapsed());
            state.tallies.add(sample);
        }
    }

    /// Adds the results of another process.
    pub fn merge(&self, tallies: &direct::Tallies) {
        self.lock().tallies.merge(tallies);
    }

    /// Returns the results so far. Attempts that wait count with the time since they began.
    #[must_use]
    pub fn tallies(&self) -> direct::Tallies {
        let state = self.lock();
        let mut tallies = state.tallies.clone();
        for (sample, since) in state.waiting.values() {
            tallies.add(Sample {
                outcome: rollout::AttemptOutcome::Abandoned(since.elapsed()),
                ..sample.clone()
            });
        }
        tallies
    }

    /// Compares `target` with the other versions by the results of this entry.
    #[must_use]
    pub fn compare(&self, target: &ids::VersionName) -> rollout::Comparison {
        self.tallies().compare(target)
    }
}
