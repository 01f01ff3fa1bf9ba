//! 64-bit hashes that identify equal content.

use std::fmt;
use std::str::FromStr;

use crate::ids;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime factor of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A 64-bit hash of content; its text form is 16 hexadecimal digits.
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
    /// Computes the fingerprint of request content; equal content of different
    /// teams has different fingerprints.
    #[must_use]
    pub fn of(team: &ids::TeamName, content: &[u8]) -> Self {
        Self::of_parts(&[team.as_str().as_bytes(), content])
    }

    /// Computes the fingerprint of content in several parts: the first 64 bits
    /// of [`ids::Digest::of_parts`].
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        Self((ids::Digest::of_parts(parts).first_u128() >> 64) as u64)
    }

    /// Computes the FNV-1a hash of a short text. It is cheaper than a digest,
    /// but a caller can construct collisions.
    #[must_use]
    pub fn fnv1a(text: &str) -> Self {
        text.bytes().fold(Self(FNV_OFFSET), |acc, byte| {
            Self((acc.0 ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
        })
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
