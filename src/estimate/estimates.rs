//! The table of estimates that routing reads.

use std::collections::HashMap;

use crate::estimate;
use crate::ids;
use crate::units;

/// Answers that an operator's prior weighs as much as.
const PRIOR_WEIGHT: f64 = 20.0;
/// Standard errors between the mean and the lower bound; about 84 in 100 one-sided.
const CONFIDENCE: f64 = 1.0;

/// Ratings of one version in one class, with older ones decayed.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Estimate {
    /// Sum of weights of the ratings.
    pub weight: f64,
    /// Weighted sum of the ratings.
    pub sum: f64,
    /// Weighted sum of the squared ratings.
    pub squares: f64,
}

impl Estimate {
    /// Adds a rating.
    pub fn add(&mut self, rating: units::Quality) {
        self.weight += 1.0;
        self.sum += rating.get();
        self.squares += rating.get() * rating.get();
    }

    /// Adds the ratings of another estimate.
    pub fn merge(&mut self, other: &Self) {
        self.weight += other.weight;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// Reduces the weight of all ratings so far.
    pub fn decay(&mut self, factor: f64) {
        self.weight *= factor;
        self.sum *= factor;
        self.squares *= factor;
    }

    /// Mean with the prior.
    #[must_use]
    pub fn mean(&self, prior: units::Quality) -> units::Quality {
        units::Quality::clamped(
            (self.sum + PRIOR_WEIGHT * prior.get()) / (self.weight + PRIOR_WEIGHT),
        )
    }

    /// Lower confidence bound of the mean with the prior.
    #[must_use]
    pub fn lower(&self, prior: units::Quality) -> units::Quality {
        units::Quality::clamped(self.mean(prior).get() - CONFIDENCE * self.standard_error())
    }

    /// Upper confidence bound of the mean with the prior.
    #[must_use]
    pub fn upper(&self, prior: units::Quality) -> units::Quality {
        units::Quality::clamped(self.mean(prior).get() + CONFIDENCE * self.standard_error())
    }

    fn standard_error(&self) -> f64 {
        if self.weight < 1.0 {
            return 0.0;
        }
        let mean = self.sum / self.weight;
        let variance = (self.squares / self.weight - mean * mean).max(0.0);
        (variance / (self.weight + PRIOR_WEIGHT)).sqrt()
    }
}

/// Estimates of all versions; immutable once published.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimates {
    cells: HashMap<ids::VersionName, HashMap<estimate::RequestClass, Estimate>>,
    totals: HashMap<ids::VersionName, Estimate>,
}

impl Estimates {
    /// Sets the estimate of a version in a class.
    pub fn set(
        &mut self,
        version: ids::VersionName,
        class: estimate::RequestClass,
        estimate: Estimate,
    ) {
        self.totals
            .entry(version.clone())
            .or_default()
            .merge(&estimate);
        self.cells
            .entry(version)
            .or_default()
            .insert(class, estimate);
    }

    /// The estimate of a version in a class. What the class lacks to the weight
    /// of the prior is filled up with the ratings of all classes, so that a few
    /// ratings of the class count at once but do not decide alone.
    #[must_use]
    pub fn get(&self, version: &ids::VersionName, class: estimate::RequestClass) -> Estimate {
        let mut cell = self.cell(version, class);
        let missing = PRIOR_WEIGHT - cell.weight;
        if let Some(totals) = self.totals.get(version)
            && missing > 0.0
            && totals.weight > 0.0
        {
            let mut filling = *totals;
            filling.decay((missing / totals.weight).min(1.0));
            cell.merge(&filling);
        }
        cell
    }

    /// Whether a version has fewer ratings in a class than the prior weighs.
    #[must_use]
    pub fn is_sparse(&self, version: &ids::VersionName, class: estimate::RequestClass) -> bool {
        self.weight(version, class) < PRIOR_WEIGHT
    }

    /// Weight of the ratings of a version in a class.
    #[must_use]
    pub fn weight(&self, version: &ids::VersionName, class: estimate::RequestClass) -> f64 {
        self.cell(version, class).weight
    }

    fn cell(&self, version: &ids::VersionName, class: estimate::RequestClass) -> Estimate {
        self.cells
            .get(version)
            .and_then(|classes| classes.get(&class))
            .copied()
            .unwrap_or_default()
    }

    /// All cells.
    pub fn iter(
        &self,
    ) -> impl Iterator<Item = (&ids::VersionName, estimate::RequestClass, &Estimate)> {
        self.cells.iter().flat_map(|(version, classes)| {
            classes
                .iter()
                .map(move |(class, estimate)| (version, *class, estimate))
        })
    }
}
