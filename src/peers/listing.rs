//! When an entry lists the group.
//!
//! Load pattern: hundreds of entries that start at once, each of which changes the division
//! of the leases.

use std::time::Duration;

use crate::ids;
use crate::runtime;

/// Largest number of entries, by the leases that this one holds, for which the group is not
/// listed.
const MAX_ALONE: u32 = 8;
/// Time without a change after which the group is listed.
const SETTLED: Duration = Duration::from_secs(2);
/// Time after a listing in which it is not repeated, unless nothing has changed for
/// [`SETTLED`].
const MIN_INTERVAL: Duration = Duration::from_secs(5);

/// Time after a failed listing in which it is not repeated, doubled with each failure in a row.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);
/// Maximum of that time.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(64);

/// Decides when the members of the group are listed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListingPlan {
    generation: ids::DivisionGeneration,
    changed_at: runtime::Moment,
    listed_at: runtime::Moment,
    /// Division for which the members are known; `None` if they never were listed.
    listed: Option<ids::DivisionGeneration>,
    /// Time from which the group may be listed.
    not_before: runtime::Moment,
    /// Number of failed listings in a row.
    failures: u32,
}

impl ListingPlan {
    /// Records the division of an answer; returns whether to list the group now. This entry
    /// holds `held` of `all` leases.
    pub fn record(
        &mut self,
        generation: ids::DivisionGeneration,
        held: u32,
        all: u32,
        now: runtime::Moment,
    ) -> bool {
        if generation != self.generation {
            self.generation = generation;
            self.changed_at = now;
        }
        // A newcomer holds no lease until the others have released some.
        let is_settled = now.saturating_since(self.changed_at) >= SETTLED;
        let is_overdue =
            self.listed.is_some() && now.saturating_since(self.listed_at) >= MIN_INTERVAL;
        let is_large = all > held.saturating_mul(MAX_ALONE) || self.listed.is_some();
        let is_allowed = now >= self.not_before;
        self.listed != Some(generation) && is_large && is_allowed && (is_settled || is_overdue)
    }

    /// Records a successful listing.
    pub const fn record_listing(&mut self, now: runtime::Moment) {
        self.listed = Some(self.generation);
        self.listed_at = now;
        self.failures = 0;
    }

    /// Records a listing that failed.
    pub fn record_failure(&mut self, now: runtime::Moment) {
        let pause = FAILURE_PAUSE.saturating_mul(1 << self.failures.min(8));
        self.not_before = now.saturating_add(pause.min(MAX_FAILURE_PAUSE));
        self.failures = self.failures.saturating_add(1);
    }
}
