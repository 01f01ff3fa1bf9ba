//! Availability of the store, per topic.

use crate::runtime;

/// Outcome of the recent reads of one topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// Start of the present series of successful reads; `None` while reads fail.
    healthy_since: Option<runtime::Moment>,
    /// Whether any read has failed since the process started.
    has_failed: bool,
}

impl StoreHealth {
    /// Records a successful read; returns whether it ends an outage.
    pub fn succeeded(&mut self, now: runtime::Moment) -> bool {
        let recovered = self.healthy_since.is_none();
        self.healthy_since.get_or_insert(now);
        recovered && self.has_failed
    }

    /// Records a failed read; returns whether it begins an outage.
    pub fn failed(&mut self) -> bool {
        self.has_failed = true;
        self.healthy_since.take().is_some()
    }

    /// End of the last outage; `None` during an outage or if there was none.
    #[must_use]
    pub fn recovered_at(&self) -> Option<runtime::Moment> {
        self.healthy_since.filter(|_| self.has_failed)
    }
}
