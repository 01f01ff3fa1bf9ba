//! Policies that select the version of a request.

use fastrand::Rng;

use crate::bench;
use crate::ids;

/// How the version of a request is selected: by the router, or by a baseline.
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
    /// The system's router selects it.
    System,
    /// Always the most expensive version of the mix.
    Dearest,
    /// A random version of the mix for each request, without affinity.
    Random,
}

impl Policy {
    /// Returns the profile that a request names. The baselines use profiles that allow a
    /// single version.
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

/// Returns the name of the profile that allows a single version of `profile`.
#[must_use]
pub fn single_version_profile(profile: &ids::ProfileName, version: &str) -> String {
    format!("{profile}.{version}")
}
