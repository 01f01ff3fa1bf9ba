//! Limit on the load that retries add.

/// Requests that pay for one retry.
const REQUESTS_PER_RETRY: u32 = 10;
/// Retries that a full budget allows at once.
const MAX_BURST_RETRIES: u32 = 10;

/// Token bucket that allows retries for 10% of requests plus a burst of 10.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    credit: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credit: MAX_BURST_RETRIES * REQUESTS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Credits the budget with one request.
    pub fn credit_request(&mut self) {
        self.credit = (self.credit + 1).min(MAX_BURST_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Takes one retry from the budget; returns `false` if it is exhausted.
    pub const fn try_spend(&mut self) -> bool {
        let is_affordable = self.credit >= REQUESTS_PER_RETRY;
        if is_affordable {
            self.credit -= REQUESTS_PER_RETRY;
        }
        is_affordable
    }
}
