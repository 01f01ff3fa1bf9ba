//! Evaluation of the ratings of a rollout step.

use crate::estimate;
use crate::units;

/// Decision on a rollout step from its ratings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDecision {
    /// More ratings are needed for a decision.
    Wait,
    /// The version meets the target and passes the step.
    Pass,
    /// The version misses the target; the rollout is stopped.
    Stop,
}

impl StepDecision {
    /// Evaluates the ratings since the step began. The version is stopped as soon as even
    /// the upper bound of its mean is below the target, which needs no minimum number of
    /// ratings, because the prior counts as 20 of them. A prior below the target alone
    /// stops nothing.
    #[must_use]
    pub fn evaluate(
        ratings: &estimate::Estimate,
        prior: units::Quality,
        target: units::Quality,
        min_ratings: u32,
    ) -> Self {
        let has_enough_ratings = ratings.weight >= f64::from(min_ratings);
        let is_below_target = ratings.sum < target.get() * ratings.weight;
        if is_below_target && ratings.upper(prior) < target {
            Self::Stop
        } else if has_enough_ratings && ratings.lower(prior) >= target {
            Self::Pass
        } else {
            Self::Wait
        }
    }
}
