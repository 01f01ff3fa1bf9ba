//! How requests choose a version.

use fastrand::Rng;

use crate::bench;
use crate::ids;

/// How requests choose a version: by the router, or by a baseline.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// The router decides.
    System,
    /// Always the most expensive allowed version.
    Dearest,
    /// A random allowed version for each request, without affinity.
    Random,
}

impl Policy {
    /// The profile to ask for. The baselines ask for profiles that allow one version.
    pub fn requested_profile(
        self,
        mix: &bench::Mix,
        profile: &ids::ProfileName,
        rng: &mut Rng,
    ) -> String {
        let version = match self {
            Self::System => return profile.to_string(),
            Self::Dearest => mix.most_expensive_version(),
            Self::Random => {
                let mut versions = mix.versions();
                versions.swap_remove(rng.usize(..versions.len()))
            }
        };
        single_version_profile(profile, &version)
    }
}

/// Name of the profile that allows one version of `profile`.
#[must_use]
pub fn single_version_profile(profile: &ids::ProfileName, version: &str) -> String {
    format!("{profile}.{version}")
}
