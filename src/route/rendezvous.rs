//! Rendezvous hashing: every process ranks the same endpoints alike.

use crate::ids;

/// Odd constant of the Fibonacci hash.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Rank of a VM for a fingerprint; the highest is chosen.
#[must_use]
pub fn rank(fingerprint: ids::Fingerprint, vm: &ids::VmName) -> u64 {
    rank_of(fingerprint, vm.as_str())
}

/// Rank of a name for a fingerprint; the highest is chosen.
#[must_use]
pub fn rank_of(fingerprint: ids::Fingerprint, name: &str) -> u64 {
    let mut chunks = name.as_bytes().chunks_exact(8);
    let mut acc = mix(fingerprint.0);
    for chunk in &mut chunks {
        acc = mix(acc ^ word(chunk));
    }
    mix(acc ^ word(chunks.remainder()))
}

fn word(bytes: &[u8]) -> u64 {
    bytes.iter().fold(1, |acc, b| (acc << 8) | u64::from(*b))
}

pub(crate) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 32)).wrapping_mul(MULTIPLIER);
    let value = (value ^ (value >> 29)).wrapping_mul(MULTIPLIER);
    value ^ (value >> 32)
}
