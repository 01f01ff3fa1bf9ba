//! Reads of a topic: where the next one continues, and what each of them proves.
//!
//! Failure: a store that an entry could not reach returns with more records than one read
//! holds, or from an older copy, while keys are withdrawn.

use std::time::Duration;

use crate::direct;
use crate::ids;
use crate::runtime;

/// State of the reads of one topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TopicReads {
    /// Position at which the next read continues; `None` if the topic is to be listed.
    position: Option<ids::Position>,
    listings: direct::Listings,
}

impl TopicReads {
    /// Returns the position at which a read at `now` continues; `None` if the newest record of
    /// each key is to be listed instead.
    pub fn next(&mut self, now: runtime::Moment) -> Option<ids::Position> {
        if self.listings.is_due(now) {
            self.position = None;
        }
        self.position
    }

    /// Returns how long a read that begins at `now` may wait for records, where reads usually
    /// wait for `usual`.
    #[must_use]
    pub fn wait(&self, usual: Duration, now: runtime::Moment) -> Duration {
        let left = self.listings.time_left(now);
        left.map_or(usual, |left| usual.min(left))
    }

    /// Records a listing whose first page stated `end`, made from `started` to `now`. It
    /// `is_whole` if it has reached the last key.
    pub fn record_listing(
        &mut self,
        end: ids::Position,
        is_whole: bool,
        started: runtime::Moment,
        now: runtime::Moment,
    ) -> (direct::Scope, direct::Proof) {
        let scope = self.listings.record(end.era, is_whole, started, now);
        (scope, self.record_read(end, 0, started))
    }

    /// Records a read that began at `started` and ended at `end`, where the topic held
    /// `lacking` records beyond.
    pub fn record_read(
        &mut self,
        end: ids::Position,
        lacking: u64,
        started: runtime::Moment,
    ) -> direct::Proof {
        self.position = Some(end);
        if lacking > 0 {
            direct::Proof::EndedEarly
        } else {
            self.prove(started)
        }
    }

    /// Records records up to `end` that another entry has passed on, which lack nothing as of
    /// `confirmed`.
    pub fn record_page(&mut self, end: ids::Position, confirmed: runtime::Moment) -> direct::Proof {
        self.position = Some(end);
        self.prove(confirmed)
    }

    /// Records that the position is no longer valid, so that the topic is to be listed.
    pub const fn record_position_lost(&mut self) {
        self.position = None;
    }

    const fn prove(&self, as_of: runtime::Moment) -> direct::Proof {
        if self.listings.are_settled() {
            direct::Proof::Whole(as_of)
        } else if self.listings.is_rewriting() {
            direct::Proof::Rewriting
        } else {
            direct::Proof::Partial
        }
    }
}
