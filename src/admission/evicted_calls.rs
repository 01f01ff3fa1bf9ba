//! Calls that were evicted from the call table.

use crate::ids;

/// Size of the filter: 1 MiB. With 500,000 calls in it, about 1 other call in 500 is a
/// false positive, which only costs a code 2008.
const FILTER_BITS: usize = 8 * 1_024 * 1_024;
/// Number of bits set for each call.
const PROBES: usize = 4;
const WORD_BITS: usize = 64;

/// Bloom filter of evicted calls; it has no false negatives.
#[derive(Debug, Default)]
pub struct EvictedCalls {
    words: Vec<u64>,
}

impl EvictedCalls {
    /// Adds a call. The memory is allocated on first use.
    pub fn insert(&mut self, key: &(ids::CallId, ids::Generation)) {
        if self.words.is_empty() {
            self.words = vec![0; FILTER_BITS / WORD_BITS];
        }
        for bit in probes(key) {
            self.words[bit / WORD_BITS] |= 1 << (bit % WORD_BITS);
        }
    }

    /// Returns whether the call may have been added; `false` is certain.
    #[must_use]
    pub fn contains(&self, key: &(ids::CallId, ids::Generation)) -> bool {
        !self.words.is_empty()
            && probes(key)
                .into_iter()
                .all(|bit| self.words[bit / WORD_BITS] & (1 << (bit % WORD_BITS)) != 0)
    }
}

/// Returns the bit positions of a call. A call id is a digest, so the parts of a digest of
/// it are independent.
fn probes((call, generation): &(ids::CallId, ids::Generation)) -> [usize; PROBES] {
    let digest = ids::Digest::of_parts(&[&call.0.to_be_bytes(), &generation.0.to_be_bytes()]);
    let head = digest.first_u128();
    std::array::from_fn(|i| {
        let part = (head >> (32 * i)) & 0xffff_ffff;
        usize::try_from(part).unwrap_or_default() % FILTER_BITS
    })
}
