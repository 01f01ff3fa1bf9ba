//! Listings of a topic, and what they may lack after the store has come back from a copy.

use std::time::Duration;

use crate::direct;
use crate::ids;
use crate::runtime;

/// Time in which what the store has lost is written again after its return from a copy; the
/// platform states about two seconds.
const REWRITE_TIME: Duration = Duration::from_millis(2_200);

/// Time after which a listing that has not reached the last key is repeated. Reads tell of
/// changes meanwhile.
const PARTIAL_INTERVAL: Duration = Duration::from_secs(10);

/// What is known of the listings of one topic. One of a new era is repeated once all is
/// written again, and one that has not reached the last key after some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listings {
    /// Era of the last listing; `None` before the first.
    era: Option<ids::StoreEra>,
    /// Whether an earlier era was listed, so that a listing may be older than what is known.
    is_restored: bool,
    /// Time from which a listing has all that was written again; `None` where the last one
    /// has.
    rewritten_at: Option<runtime::Moment>,
    /// Time from which a listing that has not reached the last key is repeated; `None` where
    /// the last one has.
    partial_until: Option<runtime::Moment>,
}

impl Listings {
    /// Records a listing that began at `started` and has ended by `now`. It `is_whole` if it
    /// has reached the last key. Returns its scope.
    pub fn record(
        &mut self,
        era: ids::StoreEra,
        is_whole: bool,
        started: runtime::Moment,
        now: runtime::Moment,
    ) -> direct::Scope {
        // The first listing can't tell how long ago its era began.
        let last = self.era.unwrap_or(ids::StoreEra::FIRST);
        if era > last {
            self.is_restored |= self.era.is_some();
            self.rewritten_at = Some(now.saturating_add(REWRITE_TIME));
        } else if self.rewritten_at.is_some_and(|at| started >= at) {
            self.rewritten_at = None;
        }
        self.era = Some(era);
        self.partial_until = (!is_whole).then(|| now.saturating_add(PARTIAL_INTERVAL));
        if self.is_restored && self.is_rewriting() {
            direct::Scope::Restored
        } else if is_whole {
            direct::Scope::Complete
        } else {
            direct::Scope::Partial
        }
    }

    /// Whether the last listing has reached the last key, and the store had all that was
    /// written before its return from a copy, so that a read confirms that nothing is lacking.
    #[must_use]
    pub const fn are_settled(&self) -> bool {
        self.rewritten_at.is_none() && self.partial_until.is_none()
    }

    /// Whether the store may lack records that are written again.
    #[must_use]
    pub const fn is_rewriting(&self) -> bool {
        self.rewritten_at.is_some()
    }

    /// Whether the topic is to be listed again.
    #[must_use]
    pub fn is_due(&self, now: runtime::Moment) -> bool {
        self.again_at().is_some_and(|at| now >= at)
    }

    /// Time until the topic is to be listed again; `None` if it is not.
    #[must_use]
    pub fn time_left(&self, now: runtime::Moment) -> Option<Duration> {
        self.again_at().map(|at| at.saturating_since(now))
    }

    fn again_at(&self) -> Option<runtime::Moment> {
        let times = self.rewritten_at.into_iter().chain(self.partial_until);
        times.min()
    }
}
