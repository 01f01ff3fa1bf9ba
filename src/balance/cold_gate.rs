//! Bound on the requests that a cold endpoint gets from one entry.

use crate::runtime;
use crate::units;

/// Requests that may be sent at once; the bound of the platform has a slack of
/// some requests over all entries.
const BURST: f64 = 1.0;

/// Token bucket with one token a request.
#[derive(Clone, Copy, Debug)]
pub struct ColdGate {
    tokens: f64,
    filled: runtime::Moment,
}

impl Default for ColdGate {
    fn default() -> Self {
        Self {
            tokens: BURST,
            filled: runtime::Moment::default(),
        }
    }
}

impl ColdGate {
    fn fill(&mut self, rate: units::Rate, now: runtime::Moment) {
        let passed = now.since(self.filled).as_secs_f64();
        self.tokens = passed.mul_add(rate.get(), self.tokens).min(BURST);
        self.filled = now;
    }

    /// Whether a request may be sent now at this rate.
    pub fn is_open(&mut self, rate: units::Rate, now: runtime::Moment) -> bool {
        self.fill(rate, now);
        self.tokens >= 1.0
    }

    /// Counts a request.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
