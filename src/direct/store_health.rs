//! Whether the store has answered lately.

use crate::runtime;

/// Record of the reads of one topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// Since when reads have succeeded; `None` while they fail.
    well_since: Option<runtime::Moment>,
    /// Whether a read has ever failed.
    has_failed: bool,
}

impl StoreHealth {
    /// A read has succeeded. Returns whether the store was away before.
    pub fn succeeded(&mut self, now: runtime::Moment) -> bool {
        let regained = self.well_since.is_none();
        self.well_since.get_or_insert(now);
        regained && self.has_failed
    }

    /// A read has failed. Returns whether the store answered before.
    pub fn failed(&mut self) -> bool {
        self.has_failed = true;
        self.well_since.take().is_some()
    }

    /// When the store came back after it was away; `None` where it never was.
    #[must_use]
    pub fn returned_at(&self) -> Option<runtime::Moment> {
        self.well_since.filter(|_| self.has_failed)
    }
}
