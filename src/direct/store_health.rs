//! Whether the store has answered lately.

use std::time::Duration;

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

    /// Whether the store has been away within `span` before `now`.
    #[must_use]
    pub fn was_away(&self, now: runtime::Moment, span: Duration) -> bool {
        match self.well_since {
            None => true,
            Some(since) => self.has_failed && now.since(since) < span,
        }
    }

    /// Time for which the store has been answering.
    #[must_use]
    pub fn well_for(&self, now: runtime::Moment) -> Option<Duration> {
        self.well_since.map(|since| now.since(since))
    }
}
