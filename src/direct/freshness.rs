//! Age of the configuration.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::runtime;

/// Start of the last read that confirmed the configuration, in milliseconds; 0
/// before the first. Traffic refuses keyed requests once it is too long ago.
#[derive(Debug, Default)]
pub struct Freshness(AtomicU64);

impl Freshness {
    /// Records a confirmation by a read that began then; an older one has no effect.
    pub fn confirm(&self, read_started: runtime::Moment) {
        self.0.fetch_max(read_started.as_millis(), Ordering::AcqRel);
    }

    /// Time since the last confirmation; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: runtime::Moment) -> Option<Duration> {
        let confirmed_ms = self.0.load(Ordering::Acquire);
        (confirmed_ms > 0).then(|| now.saturating_since(runtime::Moment::from_millis(confirmed_ms)))
    }
}
