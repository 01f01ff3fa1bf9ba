//! Counts of times on a logarithmic scale.

use std::time::Duration;

/// Number of buckets. Each covers half a power of two of milliseconds; the last one also
/// holds all times from 46 s on.
const BUCKETS: usize = 32;
/// Buckets by which a time moves when it doubles.
pub const BUCKETS_PER_DOUBLING: usize = 2;

/// Histogram of times, small enough to be shared between entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TimeHistogram {
    counts: [u32; BUCKETS],
}

impl TimeHistogram {
    /// Counts a time.
    pub fn add(&mut self, time: Duration) {
        let count = &mut self.counts[bucket(time)];
        *count = count.saturating_add(1);
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (count, other) in self.counts.iter_mut().zip(other.counts) {
            *count = count.saturating_add(other);
        }
    }

    /// Returns the number of times.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.count_from(0)
    }

    /// Returns the number of times in this bucket and later ones.
    #[must_use]
    pub fn count_from(&self, bucket: usize) -> u32 {
        let counts = self.counts.iter().skip(bucket);
        counts.fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Returns the bucket of the median; `None` without times.
    #[must_use]
    pub fn median_bucket(&self) -> Option<usize> {
        let half = self.total().div_ceil(2);
        if half == 0 {
            return None;
        }
        let mut below = 0;
        self.counts.iter().position(|count| {
            below += count;
            below >= half
        })
    }
}

/// Returns the index of the bucket that holds a time.
#[must_use]
pub fn bucket(time: Duration) -> usize {
    let millis = (time.as_secs_f64() * 1_000.0).max(1.0);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let index = (millis.log2() * BUCKETS_PER_DOUBLING as f64) as usize;
    index.min(BUCKETS - 1)
}
