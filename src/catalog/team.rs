//! Teams, i.e. customers of the platform.

use crate::ids;

/// A customer of the platform, who authenticates by tokens.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 digests of the team's tokens; several during the replacement of a token.
    pub token_sha256: Vec<ids::Digest>,
    /// Maximum number of concurrent requests of the team per entry. Default: 256.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
}

const fn default_max_concurrent() -> u32 {
    256
}
