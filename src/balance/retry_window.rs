//! Limit on retries in a sliding window.

use crate::runtime;
use crate::units;

/// Number of buckets into which the window is divided.
const BUCKETS: usize = 10;
/// Fraction of the permitted retry ratio that is used. The rest covers requests
/// that another entry counts in a neighbouring window.
const USED_RATIO_FRACTION: f64 = 0.9;
/// Retries allowed in any window, even without requests: a small share of the
/// slack that the platform grants over all entries.
const BASE_RETRIES: u32 = 4;

/// Fraction of the allowed retries that escalations of a cascade may use. The
/// rest is reserved for requests that would fail without a retry.
const OPTIONAL_RETRY_FRACTION: f64 = 0.8;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Recent requests and retries of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    ratio: f64,
    bucket_ms: u64,
    buckets: [Bucket; BUCKETS],
}

impl RetryWindow {
    /// Creates an empty window of this length that permits `ratio` retries per request.
    #[must_use]
    pub fn new(ratio: f64, window: units::Millis) -> Self {
        Self {
            ratio: ratio * USED_RATIO_FRACTION,
            bucket_ms: (window.0 / BUCKETS as u64).max(1),
            buckets: [Bucket::default(); BUCKETS],
        }
    }

    fn current_bucket(&mut self, now: runtime::Moment) -> &mut Bucket {
        let number = now.as_millis() / self.bucket_ms;
        let index = usize::try_from(number % BUCKETS as u64).unwrap_or_default();
        let bucket = &mut self.buckets[index];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// Counts a caller's request, which raises the number of permitted retries.
    pub fn record_request(&mut self, now: runtime::Moment) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes a retry without which the request fails; returns false when the
    /// limit is reached.
    pub fn take_retry(&mut self, now: runtime::Moment) -> bool {
        self.try_take(now, 1.0)
    }

    /// Takes a retry that only improves the answer; returns false when the
    /// fraction for such retries is used up.
    pub fn take_optional_retry(&mut self, now: runtime::Moment) -> bool {
        self.try_take(now, OPTIONAL_RETRY_FRACTION)
    }

    fn try_take(&mut self, now: runtime::Moment, fraction: f64) -> bool {
        let oldest = (now.as_millis() / self.bucket_ms).saturating_sub(BUCKETS as u64 - 1);
        let (requests, retries) = self
            .buckets
            .iter()
            .filter(|bucket| bucket.number >= oldest)
            .fold((0, 0), |(requests, retries), bucket| {
                (requests + bucket.requests, retries + bucket.retries)
            });
        let allowed = f64::from(requests).mul_add(self.ratio, f64::from(BASE_RETRIES));
        if f64::from(retries) + 1.0 > allowed * fraction {
            return false;
        }
        self.current_bucket(now).retries += 1;
        true
    }
}
