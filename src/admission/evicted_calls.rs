//! Calls that no longer fit into the table.

use crate::ids;

/// Size of the filter: 1 MiB. With half a million calls in it about one
/// other call in 500 is taken for one of them, which only costs a code 2008.
const BITS: usize = 8 * 1_024 * 1_024;
/// Bits set for each call.
const PROBES: usize = 4;
const WORD: usize = 64;

/// A Bloom filter: says "no" only for what was never inserted.
#[derive(Debug, Default)]
pub struct Forgotten {
    words: Vec<u64>,
}

impl Forgotten {
    /// Remembers a call. The memory is taken on first use.
    pub fn insert(&mut self, key: &(ids::CallId, ids::Generation)) {
        if self.words.is_empty() {
            self.words = vec![0; BITS / WORD];
        }
        for bit in probes(key) {
            self.words[bit / WORD] |= 1 << (bit % WORD);
        }
    }

    /// Whether the call may have been inserted.
    #[must_use]
    pub fn contains(&self, key: &(ids::CallId, ids::Generation)) -> bool {
        !self.words.is_empty()
            && probes(key)
                .into_iter()
                .all(|bit| self.words[bit / WORD] & (1 << (bit % WORD)) != 0)
    }
}

/// Positions of a call. A call id is a digest, so parts of a digest of it are independent.
fn probes((call, generation): &(ids::CallId, ids::Generation)) -> [usize; PROBES] {
    let digest = ids::Digest::of_parts(&[&call.0.to_be_bytes(), &generation.0.to_be_bytes()]);
    let head = digest.head();
    std::array::from_fn(|i| {
        let part = (head >> (32 * i)) & 0xffff_ffff;
        usize::try_from(part).unwrap_or_default() % BITS
    })
}
