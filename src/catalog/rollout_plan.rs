//! Rollout orders of operators.

use crate::ids;

/// An order to roll out a version to a profile step by step.
///
/// The steps and the exposure limit come from the profile. Until the rollout is
/// complete, the version serves the profile only through it. The order is
/// inactive until the profile lists the version.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutPlan {
    /// Profile whose requests the version is to serve.
    pub profile: ids::ProfileName,
    /// Version that is rolled out.
    pub version: ids::VersionName,
    /// Whether the operator has paused the rollout at its present step. Default: false.
    #[serde(default)]
    pub paused: bool,
}

impl RolloutPlan {
    /// Whether both orders are for the same version and profile.
    #[must_use]
    pub fn has_same_target(&self, other: &Self) -> bool {
        self.profile == other.profile && self.version == other.version
    }
}
