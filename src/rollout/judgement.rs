//! Whether a step has passed.

use crate::estimate;
use crate::units;

/// What the ratings of a step say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// More ratings are needed.
    Wait,
    /// The version meets the target.
    Pass,
    /// The version misses the target.
    Stop,
}

impl Judgement {
    /// Judges the ratings since the step began. The version stops as soon as
    /// even the upper bound of its mean is below the target, which needs no
    /// least number of ratings: the prior weighs like 20 answers. A prior
    /// below the target alone stops nothing.
    #[must_use]
    pub fn of(
        ratings: &estimate::Estimate,
        prior: units::Quality,
        target: units::Quality,
        min_ratings: u32,
    ) -> Self {
        let enough = ratings.weight >= f64::from(min_ratings);
        let missed = ratings.sum < target.get() * ratings.weight;
        if missed && ratings.upper(prior) < target {
            Self::Stop
        } else if enough && ratings.lower(prior) >= target {
            Self::Pass
        } else {
            Self::Wait
        }
    }
}
