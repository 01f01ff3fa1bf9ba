//! Profiles.

use crate::ids;
use crate::units;

/// A routing policy that services pick by name.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Teams that may use the profile.
    pub teams: Vec<ids::TeamName>,
    /// Versions on which requests may run, in any order.
    pub versions: Vec<ids::VersionName>,
    /// Mean quality that answers must reach.
    pub quality_target: units::Quality,
    /// Time for the whole answer where the caller states none.
    #[serde(default = "default_deadline")]
    pub deadline_ms: units::Millis,
    /// Whether whole answers are rated before they are returned, and run
    /// again on a better version below the target.
    #[serde(default)]
    pub verify: bool,
    /// Most answers that a version in roll-out may give before its evidence
    /// meets the target; holds over all entries together.
    #[serde(default = "default_max_exposure")]
    pub max_exposure: u64,
    /// Steps by which a new version enters.
    #[serde(default = "default_steps")]
    pub rollout_steps: Vec<RolloutStep>,
}

/// One step of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStep {
    /// Share of the profile's requests that the new version receives.
    pub share: units::Share,
    /// Rated answers that the step needs before it may pass.
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
