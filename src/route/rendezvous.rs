//! Rendezvous hashing: every process ranks the same endpoints alike.

use crate::ids;

/// Odd multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the rank of a VM for a fingerprint; the VM with the highest rank is selected.
#[must_use]
pub fn rank(fingerprint: ids::Fingerprint, vm: &ids::VmName) -> u64 {
    rank_of(fingerprint, vm.as_str())
}

/// Returns the rank of a name for a fingerprint; the name with the highest rank is
/// selected.
#[must_use]
pub fn rank_of(fingerprint: ids::Fingerprint, name: &str) -> u64 {
    let mut chunks = name.as_bytes().chunks_exact(8);
    let mut acc = mix(fingerprint.0);
    for chunk in &mut chunks {
        acc = mix(acc ^ pack_bytes(chunk));
    }
    mix(acc ^ pack_bytes(chunks.remainder()))
}

fn pack_bytes(bytes: &[u8]) -> u64 {
    bytes.iter().fold(1, |acc, b| (acc << 8) | u64::from(*b))
}

/// Mixes the bits of a value, so that similar inputs give unrelated hashes.
pub(crate) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 32)).wrapping_mul(MULTIPLIER);
    let value = (value ^ (value >> 29)).wrapping_mul(MULTIPLIER);
    value ^ (value >> 32)
}
