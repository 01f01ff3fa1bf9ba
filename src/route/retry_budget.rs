//! Bound on the load that retries add.

/// Parts of a retry that each request earns: 10 requests pay for one retry.
const RETRY_COST: u32 = 10;
/// Retries that may be made at once.
const BURST: u32 = 10;

/// Token bucket: retries up to 10% of requests plus a burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    earned: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            earned: BURST * RETRY_COST,
        }
    }
}

impl RetryBudget {
    /// Counts a request.
    pub fn earn(&mut self) {
        self.earned = (self.earned + 1).min(BURST * RETRY_COST);
    }

    /// Takes a retry; false where none is left.
    pub const fn try_spend(&mut self) -> bool {
        let affordable = self.earned >= RETRY_COST;
        if affordable {
            self.earned -= RETRY_COST;
        }
        affordable
    }
}
