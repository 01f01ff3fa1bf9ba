//! The concurrency limit of an endpoint.

/// Counts running requests against a limit.
#[derive(Clone, Debug)]
pub struct Gate {
    running: u32,
    limit: u32,
}

impl Gate {
    /// A gate for `limit` requests at a time.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self { running: 0, limit }
    }

    /// Lets a request in; false at the limit.
    pub const fn try_enter(&mut self) -> bool {
        if self.running >= self.limit {
            return false;
        }
        self.running += 1;
        true
    }

    /// A request has ended.
    pub const fn leave(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Requests running.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Requests that may run at a time.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }
}
