//! Results of the versions of a service, as evidence for its rollout.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::ids;
use crate::rollout;

/// Result of one attempt at an endpoint.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Route of the request.
    pub route: ids::RouteName,
    /// Version that the endpoint runs.
    pub version: ids::VersionName,
    /// Model chosen by the router; `None` when the caller named it or the service
    /// has no models.
    pub model: Option<ids::ModelName>,
    /// Whether the attempt was answered.
    pub answered: bool,
    /// Time to the first byte of the answer; `None` without an answer.
    pub first_byte: Option<Duration>,
}

type TallyKey = (ids::RouteName, Option<ids::ModelName>, ids::VersionName);

/// Results by route, model and version while a rollout of the service is in
/// progress. Traffic threads add samples, the control thread compares versions.
#[derive(Debug, Default)]
pub struct Evidence {
    tallies: Mutex<HashMap<TallyKey, rollout::Tally>>,
}

impl Evidence {
    fn lock(&self) -> MutexGuard<'_, HashMap<TallyKey, rollout::Tally>> {
        self.tallies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the result of an attempt.
    pub fn add(&self, sample: Sample) {
        let key = (sample.route, sample.model, sample.version);
        self.lock()
            .entry(key)
            .or_default()
            .add(sample.answered, sample.first_byte);
    }

    /// Compares `target` with the other versions, per route and model, so that a
    /// different mix of requests does not count against it.
    #[must_use]
    pub fn compare(&self, target: &ids::VersionName) -> rollout::Comparison {
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
