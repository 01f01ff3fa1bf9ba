//! Age of what a snapshot holds.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;

use crate::direct;
use crate::runtime;

/// Last confirmation of the configuration or the share of this entry in one snapshot. The
/// control thread writes it as long as no later snapshot is published, traffic reads it.
#[derive(Debug, Default)]
pub struct Freshness(ArcSwapOption<direct::Confirmation>);

impl Freshness {
    /// Creates the freshness of a snapshot that is about to be published.
    #[must_use]
    pub fn new(last: Option<direct::Confirmation>) -> Self {
        Self(ArcSwapOption::from_pointee(last))
    }

    /// Records the last confirmation, if any.
    pub fn confirm(&self, last: Option<direct::Confirmation>) {
        if self.last() != last {
            self.0.store(last.map(Arc::new));
        }
    }

    /// Returns the last confirmation; `None` before the first one.
    #[must_use]
    pub fn last(&self) -> Option<direct::Confirmation> {
        self.0.load().as_deref().copied()
    }

    /// Time since the last confirmation; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: runtime::Moment) -> Option<Duration> {
        self.last().map(|last| last.age(now))
    }
}
