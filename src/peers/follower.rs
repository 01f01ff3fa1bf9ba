//! What an entry knows of one topic by following another entry, and whether it still may.
//!
//! Load pattern: as in [`peers::Course`].

use std::time::Duration;

use crate::direct;
use crate::ids;
use crate::peers;
use crate::runtime;

/// Course of an entry in one topic, with the age of what it knows.
#[derive(Clone, Debug)]
pub struct Follower {
    source: direct::Source,
    limits: peers::FollowLimits,
    course: peers::AnyCourse,
    /// Number of the last confirmation received from the followed entry.
    seen: u64,
    /// Time of the last confirmation by the store, read or passed on.
    confirmed: runtime::Moment,
}

impl Follower {
    /// Creates the state of an entry that has read nothing.
    #[must_use]
    pub fn new(source: direct::Source, limits: peers::FollowLimits) -> Self {
        Self {
            source,
            limits,
            course: peers::AnyCourse::default(),
            seen: 0,
            confirmed: runtime::Moment::default(),
        }
    }

    /// Adopts the duty of the entry.
    pub fn plan(&mut self, duty: &peers::Duty, now: runtime::Moment) {
        let was_following = self.following().is_some();
        self.course = std::mem::take(&mut self.course).plan(duty, now);
        if !was_following && self.following().is_some() {
            self.seen = 0;
        }
    }

    /// Returns the entry that is followed; `None` while this one reads.
    #[must_use]
    pub const fn following(&self) -> Option<&peers::Following> {
        match &self.course {
            peers::AnyCourse::Following(course) => Some(&course.state),
            peers::AnyCourse::Reading(_) => None,
        }
    }

    /// Time since the store confirmed what is known.
    #[must_use]
    pub fn age(&self, now: runtime::Moment) -> Duration {
        now.saturating_since(self.confirmed)
    }

    /// Returns how long the next read of the store waits for records, where reads usually wait
    /// for `usual`.
    #[must_use]
    pub const fn read_wait(&self, usual: Duration) -> Duration {
        self.course.read_wait(usual)
    }

    /// Returns the poll for the records from `from` on, and the time within which it must be
    /// answered; `None` if what is known is too old to wait for an answer.
    #[must_use]
    pub fn poll(
        &self,
        from: ids::Position,
        asked: runtime::Moment,
    ) -> Option<(peers::Poll, Duration)> {
        let is_first = self.seen == 0;
        let deadline = self.limits.deadline(asked, self.confirmed, is_first);
        let limit = deadline.saturating_since(asked);
        let poll = peers::Poll {
            source: self.source,
            from,
            seen: self.seen,
        };
        (!limit.is_zero()).then_some((poll, limit))
    }

    /// Records the answer to a poll that was asked at `asked` and has ended by `now`. Returns
    /// the page with the time as of which it lacks nothing. On failure, the entry reads for
    /// itself from now on.
    pub fn record_answer(
        &mut self,
        from: ids::Position,
        asked: runtime::Moment,
        now: runtime::Moment,
        answer: Result<peers::PollAnswer, peers::FollowEnd>,
    ) -> Result<(peers::RelayedPage, runtime::Moment), peers::FollowEnd> {
        let page = match answer {
            Ok(peers::PollAnswer::Page(page)) => Ok(page),
            Ok(peers::PollAnswer::NotReading) => Err(peers::FollowEnd::NotReading),
            Ok(peers::PollAnswer::StoreLost) => Err(peers::FollowEnd::StoreLost),
            Ok(peers::PollAnswer::NotRetained) => Err(peers::FollowEnd::NotRetained),
            Err(reason) => Err(reason),
        };
        let page = page.inspect_err(|reason| self.end(*reason, now))?;
        let confirmed = page.confirmed(from.offset, asked, self.confirmed);
        self.seen = page.number;
        self.confirmed = self.confirmed.max(confirmed);
        if self.age(now) < self.limits.age {
            self.course = std::mem::take(&mut self.course).record_success();
        } else {
            self.end(peers::FollowEnd::Stale, now);
        }
        Ok((page, confirmed))
    }

    /// Records a read of the store by this entry, and as of when it lacks nothing.
    pub fn record_read(&mut self, confirmed: Option<runtime::Moment>) {
        self.confirmed = self.confirmed.max(confirmed.unwrap_or_default());
        self.course = std::mem::take(&mut self.course).record_success();
    }

    fn end(&mut self, reason: peers::FollowEnd, now: runtime::Moment) {
        self.course = std::mem::take(&mut self.course).end_following(reason, now);
    }
}
