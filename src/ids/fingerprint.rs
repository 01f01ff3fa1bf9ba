//! Short hashes that recognise equal content.

use std::fmt;
use std::str::FromStr;

use crate::ids;

/// A 64-bit hash of content, written as 16 hexadecimal digits.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a team's request content.
    #[must_use]
    pub fn of(team: &ids::TeamName, content: &[u8]) -> Self {
        let digest = ids::Digest::of_parts(&[team.as_str().as_bytes(), content]);
        Self((digest.head() >> 64) as u64)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ids::InvalidId;

    fn from_str(text: &str) -> Result<Self, ids::InvalidId> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ids::InvalidId)
    }
}
