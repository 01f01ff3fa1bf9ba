//! What answers say of the versions of a service.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::ids;
use crate::rollout;

/// What one run at an endpoint has shown.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The route.
    pub route: ids::RouteName,
    /// Version of the endpoint.
    pub version: ids::VersionName,
    /// Model that ran; `None` for a plain service.
    pub model: Option<ids::ModelName>,
    /// Whether the run was answered.
    pub answered: bool,
    /// Time to the first byte of the answer, where there was one.
    pub first: Option<Duration>,
}

type Key = (ids::RouteName, Option<ids::ModelName>, ids::VersionName);

/// Results by route, model and version; filled by traffic, judged by the
/// control thread. Kept while a roll-out of the service is under way.
#[derive(Debug, Default)]
pub struct Evidence {
    tallies: Mutex<HashMap<Key, rollout::Tally>>,
}

impl Evidence {
    fn lock(&self) -> MutexGuard<'_, HashMap<Key, rollout::Tally>> {
        self.tallies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a run.
    pub fn add(&self, sample: Sample) {
        let key = (sample.route, sample.model, sample.version);
        self.lock()
            .entry(key)
            .or_default()
            .add(sample.answered, sample.first);
    }

    /// Judges `target` against the other versions.
    #[must_use]
    pub fn judge(&self, target: &ids::VersionName) -> rollout::Comparison {
        let tallies = self.lock();
        let mut comparison = rollout::Comparison::default();
        for ((route, model, version), tally) in tallies.iter() {
            if version != target {
                continue;
            }
            let mut others = rollout::Tally::default();
            for ((other_route, other_model, other_version), tally) in tallies.iter() {
                if other_route == route && other_model == model && other_version != target {
                    others.merge(tally);
                }
            }
            comparison.include(tally, &others);
        }
        comparison
    }
}
