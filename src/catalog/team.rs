//! Teams.

use crate::ids;

/// A customer of the platform.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 digests of the team's tokens; more than one while a token is replaced.
    pub token_sha256: Vec<ids::Digest>,
    /// Most requests of the team that one entry runs at a time.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
}

const fn default_max_concurrent() -> u32 {
    256
}
