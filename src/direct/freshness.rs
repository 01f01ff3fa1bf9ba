//! Age of what was read from the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::runtime;

/// Start of the last call that confirmed the configuration or the share of this entry, in
/// milliseconds; 0 before the first.
#[derive(Debug, Default)]
pub struct Freshness(AtomicU64);

impl Freshness {
    /// Records a confirmation by a call that began then; an older one has no effect.
    pub fn confirm(&self, call_started: runtime::Moment) {
        self.0.fetch_max(call_started.as_millis(), Ordering::AcqRel);
    }

    /// Records a confirmation of a state that is not published yet. Traffic keeps the freshness
    /// of the published one, which lacks what was confirmed, until it gets the next snapshot.
    pub fn confirm_unpublished(this: &mut Arc<Self>, call_started: runtime::Moment) {
        let next = Self(AtomicU64::new(this.0.load(Ordering::Acquire)));
        next.confirm(call_started);
        *this = Arc::new(next);
    }

    /// Time since the last confirmation; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: runtime::Moment) -> Option<Duration> {
        let confirmed_ms = self.0.load(Ordering::Acquire);
        (confirmed_ms > 0).then(|| now.saturating_since(runtime::Moment::from_millis(confirmed_ms)))
    }
}
