//! Results of the versions of a service by route and model, and of its endpoints.

use std::collections::HashMap;

use crate::direct;
use crate::ids;
use crate::rollout;

type TallyKey = (ids::RouteName, Option<ids::ModelName>, ids::VersionName);

/// Results of one version on one route and model.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
struct Results {
    tally: rollout::Tally,
    /// Part of the attempts that each endpoint had.
    endpoints: HashMap<ids::EndpointId, rollout::Counts>,
}

impl Results {
    fn merge(&mut self, other: &Self) {
        self.tally.merge(&other.tally);
        for (id, counts) in &other.endpoints {
            let sum = self.endpoints.entry(id.clone()).or_default();
            *sum = sum.plus(*counts);
        }
    }
}

/// Results of one entry, or of several together.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Tallies {
    versions: HashMap<TallyKey, Results>,
}

impl Tallies {
    /// Adds the result of an attempt.
    pub fn add(&mut self, sample: direct::Sample) {
        let key = (sample.route, sample.model, sample.version);
        let results = self.versions.entry(key).or_default();
        results.tally.add(sample.outcome);
        if !matches!(sample.outcome, rollout::AttemptOutcome::Abandoned(_)) {
            let counts = results.endpoints.entry(sample.endpoint).or_default();
            *counts = counts.plus(rollout::Counts {
                attempts: 1,
                hits: u32::from(sample.outcome == rollout::AttemptOutcome::Failed),
            });
        }
    }

    /// Adds the results of another entry.
    pub fn merge(&mut self, other: &Self) {
        for (key, results) in &other.versions {
            self.versions.entry(key.clone()).or_default().merge(results);
        }
    }

    /// Returns the results without the endpoints that have not failed, to keep records
    /// small in large fleets.
    #[must_use]
    pub fn condensed(&self) -> Self {
        let mut condensed = self.clone();
        for results in condensed.versions.values_mut() {
            results.endpoints.retain(|_, counts| counts.hits > 0);
        }
        condensed
    }

    /// Compares `target` with the other versions, per route and model, so that a
    /// different mix of requests does not count against it.
    #[must_use]
    pub fn compare(&self, target: &ids::VersionName) -> rollout::Comparison {
        let mut comparison = rollout::Comparison::default();
        for ((route, model, version), results) in &self.versions {
            if version != target {
                continue;
            }
            let mut others = rollout::Tally::default();
            for ((other_route, other_model, other_version), results) in &self.versions {
                if other_route == route && other_model == model && other_version != target {
                    others.merge(&results.tally);
                }
            }
            comparison.include(&results.tally, &others, results.endpoints.clone());
        }
        comparison
    }
}
