//! Profiles, i.e. routing policies.

use crate::ids;
use crate::units;

/// A routing policy, selected by its name.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Teams that are allowed to use the profile.
    pub teams: Vec<ids::TeamName>,
    /// Versions that may execute requests; the order has no meaning.
    pub versions: Vec<ids::VersionName>,
    /// Mean quality that the answers must reach.
    pub quality_target: units::Quality,
    /// Time limit for the complete answer when the caller states none. Default: 60 s.
    #[serde(default = "default_deadline")]
    pub deadline_ms: units::Millis,
    /// Whether complete answers are rated before they are returned, and retried
    /// on a better version when below the target. Default: false.
    #[serde(default)]
    pub verify: bool,
    /// Maximum number of answers that a version in rollout may give before its
    /// evidence meets the target, over all entries together. Default: 200.
    #[serde(default = "default_max_exposure")]
    pub max_exposure: u64,
    /// Steps of a rollout. Default: shares of 2, 10 and 50 %.
    #[serde(default = "default_steps")]
    pub rollout_steps: Vec<RolloutStep>,
}

/// One step of a rollout to a profile.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStep {
    /// Fraction of the profile's requests that the new version receives.
    pub share: units::Share,
    /// Minimum number of rated answers before the step can pass.
    pub min_ratings: u32,
}

const fn default_deadline() -> units::Millis {
    units::Millis(60_000)
}

const fn default_max_exposure() -> u64 {
    200
}

fn default_steps() -> Vec<RolloutStep> {
    let step = |share, min_ratings| RolloutStep {
        share: units::Share::clamped(share),
        min_ratings,
    };
    vec![step(0.02, 20), step(0.1, 30), step(0.5, 30)]
}
