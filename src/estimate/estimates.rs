//! Table of quality estimates that routing reads.

use std::collections::HashMap;

use crate::estimate;
use crate::ids;
use crate::units;

/// Number of ratings that the operator's prior counts as.
const PRIOR_WEIGHT: f64 = 20.0;
/// Standard errors between the mean and each confidence bound; 1 gives about 84% one-sided
/// confidence.
const CONFIDENCE_STANDARD_ERRORS: f64 = 1.0;

/// Ratings of one version in one class; older ones are decayed.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Estimate {
    /// Sum of the weights of the ratings.
    pub weight: f64,
    /// Weighted sum of the ratings.
    pub sum: f64,
    /// Weighted sum of the squared ratings.
    pub squares: f64,
}

impl Estimate {
    /// Adds one rating with a weight of 1.
    pub fn add(&mut self, rating: units::Quality) {
        self.weight += 1.0;
        self.sum += rating.get();
        self.squares += rating.get() * rating.get();
    }

    /// Adds all ratings of another estimate.
    pub fn merge(&mut self, other: &Self) {
        self.weight += other.weight;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// Multiplies the weight of all ratings so far by `factor`.
    pub fn decay(&mut self, factor: f64) {
        self.weight *= factor;
        self.sum *= factor;
        self.squares *= factor;
    }

    /// Returns the mean of the ratings and the prior.
    #[must_use]
    pub fn mean(&self, prior: units::Quality) -> units::Quality {
        units::Quality::clamped(
            (self.sum + PRIOR_WEIGHT * prior.get()) / (self.weight + PRIOR_WEIGHT),
        )
    }

    /// Returns the lower confidence bound of the mean with the prior.
    #[must_use]
    pub fn lower(&self, prior: units::Quality) -> units::Quality {
        units::Quality::clamped(
            self.mean(prior).get() - CONFIDENCE_STANDARD_ERRORS * self.standard_error(),
        )
    }

    /// Returns the upper confidence bound of the mean with the prior.
    #[must_use]
    pub fn upper(&self, prior: units::Quality) -> units::Quality {
        units::Quality::clamped(
            self.mean(prior).get() + CONFIDENCE_STANDARD_ERRORS * self.standard_error(),
        )
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

/// Estimates of all versions by request class; immutable once published.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimates {
    cells: HashMap<ids::VersionName, HashMap<estimate::RequestClass, Estimate>>,
    totals: HashMap<ids::VersionName, Estimate>,
}

impl Estimates {
    /// Sets the estimate of a version in a class, and adds it to the total of the version.
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

    /// Returns the estimate of a version in a class. A class that weighs less than the
    /// prior is topped up with the ratings of all classes, so that a few ratings of the
    /// class count at once but do not decide alone.
    #[must_use]
    pub fn get(&self, version: &ids::VersionName, class: estimate::RequestClass) -> Estimate {
        let mut cell = self.cell(version, class);
        let missing_weight = PRIOR_WEIGHT - cell.weight;
        if let Some(totals) = self.totals.get(version)
            && missing_weight > 0.0
            && totals.weight > 0.0
        {
            let mut top_up = *totals;
            top_up.decay((missing_weight / totals.weight).min(1.0));
            cell.merge(&top_up);
        }
        cell
    }

    /// Returns whether a version's ratings in a class weigh less than the prior.
    #[must_use]
    pub fn is_sparse(&self, version: &ids::VersionName, class: estimate::RequestClass) -> bool {
        self.weight(version, class) < PRIOR_WEIGHT
    }

    /// Returns the weight of a version's ratings in a class; 0 if there are none.
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

    /// Iterates over the estimates of all versions and classes.
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
