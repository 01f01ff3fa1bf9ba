//! Age of what was read from the store.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;

use crate::direct;
use crate::runtime;

/// Last confirmation of the configuration or the share of this entry. The control thread
/// writes it, traffic reads it.
#[derive(Debug, Default)]
pub struct Freshness(ArcSwapOption<direct::Confirmation>);

impl Freshness {
    /// Records a confirmation; an older one has no effect.
    pub fn confirm(&self, confirmation: direct::Confirmation) {
        let is_newer = |last: direct::Confirmation| confirmation.as_of > last.as_of;
        if self.last().is_none_or(is_newer) {
            self.0.store(Some(Arc::new(confirmation)));
        }
    }

    /// Records a confirmation of a state that is not published yet. Traffic keeps the freshness
    /// of the published one, which lacks what was confirmed, until it gets the next snapshot.
    pub fn confirm_unpublished(this: &mut Arc<Self>, confirmation: direct::Confirmation) {
        let next = Self(ArcSwapOption::new(this.0.load_full()));
        next.confirm(confirmation);
        *this = Arc::new(next);
    }

    /// Returns the last confirmation; `None` before the first one.
    #[must_use]
    pub fn last(&self) -> Option<direct::Confirmation> {
        self.0.load().as_deref().copied()
    }

    /// Time since the last confirmation; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: runtime::Moment) -> Option<Duration> {
        self.last().map(|last| now.saturating_since(last.as_of))
    }
}
