//! Rate limit on the requests that one entry sends to a cold endpoint.

use crate::runtime;
use crate::units;

/// Capacity of the bucket in requests. The platform's limit tolerates only a
/// few extra requests over all entries together.
const BURST_REQUESTS: f64 = 1.0;

/// Token bucket in which each request costs one token.
#[derive(Clone, Copy, Debug)]
pub struct ColdGate {
    tokens: f64,
    refilled_at: runtime::Moment,
}

impl Default for ColdGate {
    fn default() -> Self {
        Self {
            tokens: BURST_REQUESTS,
            refilled_at: runtime::Moment::default(),
        }
    }
}

impl ColdGate {
    fn refill(&mut self, rate: units::Rate, now: runtime::Moment) {
        let elapsed_s = now.saturating_since(self.refilled_at).as_secs_f64();
        self.tokens = elapsed_s
            .mul_add(rate.get(), self.tokens)
            .min(BURST_REQUESTS);
        self.refilled_at = now;
    }

    /// Refills the bucket at `rate` and returns whether a request may be sent now.
    pub fn is_open(&mut self, rate: units::Rate, now: runtime::Moment) -> bool {
        self.refill(rate, now);
        self.tokens >= 1.0
    }

    /// Takes the token of a sent request; the bucket never falls below zero.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
