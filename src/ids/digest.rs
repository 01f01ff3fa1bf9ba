//! SHA-256 digests of secrets and content.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::ids;

/// A SHA-256 digest; its text form is 64 hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "Arc<str>", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `parts`. Each part is preceded by its length, so
    /// that different parts with the same concatenation have different digests.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut cx = ring::digest::Context::new(&ring::digest::SHA256);
        for part in parts {
            cx.update(&(part.len() as u64).to_be_bytes());
            cx.update(part);
        }
        Self::from_ring(&cx.finish())
    }

    /// Computes the plain SHA-256 of `bytes`, as `sha256sum` prints it.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self::from_ring(&ring::digest::digest(&ring::digest::SHA256, bytes))
    }

    /// Returns the first 16 bytes as a big-endian number.
    #[must_use]
    pub fn first_u128(&self) -> u128 {
        self.0[..16]
            .iter()
            .fold(0, |acc, b| (acc << 8) | u128::from(*b))
    }

    /// Compares two digests in constant time, so that the duration does not
    /// reveal where they differ.
    #[must_use]
    pub fn constant_time_eq(&self, other: &Self) -> bool {
        let differing = self
            .0
            .iter()
            .zip(&other.0)
            .fold(0, |acc, (a, b)| std::hint::black_box(acc | (a ^ b)));
        differing == 0
    }

    fn from_ring(digest: &ring::digest::Digest) -> Self {
        let mut bytes = [0; 32];
        bytes.copy_from_slice(digest.as_ref());
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = ids::InvalidId;

    fn from_str(text: &str) -> Result<Self, ids::InvalidId> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(ids::InvalidId);
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| ids::InvalidId)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<Arc<str>> for Digest {
    type Error = ids::InvalidId;

    fn try_from(text: Arc<str>) -> Result<Self, ids::InvalidId> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
