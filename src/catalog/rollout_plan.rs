//! Operators' orders to roll a version out.

use crate::ids;

/// An order to bring a version into a profile step by step.
///
/// The steps and the bound on exposure come from the profile. The version
/// serves the profile only through the roll-out until it is complete. Until
/// the profile lists the version the order is inactive.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutPlan {
    /// The profile that the version enters.
    pub profile: ids::ProfileName,
    /// The entering version.
    pub version: ids::VersionName,
    /// Whether the operator has paused the roll-out at its present step.
    #[serde(default)]
    pub paused: bool,
}

impl RolloutPlan {
    /// Whether both orders bring the same version into the same profile.
    #[must_use]
    pub fn is_same_entry(&self, other: &Self) -> bool {
        self.profile == other.profile && self.version == other.version
    }
}
