//! The state of all calls within the window.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::calls;
use crate::ids;

/// Time after which a claim is dropped: the window, the time by which a key
/// may be dated ahead, and a margin for clocks.
const KEEP: Duration = Duration::from_hours(26);

/// The present claim of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The winner of the latest generation.
    pub claim: calls::Claim,
    /// What became of it, as far as recorded.
    pub ran: Option<End>,
}

/// What became of a claim. The answer itself stays in the log, which bounds
/// the memory that calls take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered; the outcome has this offset.
    Answered(ids::Offset),
    /// It never ran.
    Never,
}

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claim is the winner of its generation.
    Won,
    /// The claim lost against an earlier one.
    Lost,
    /// The outcome is the first of its claim.
    Recorded,
    /// The record has no effect.
    Ignored,
}

/// All calls: a function of the records applied. Memory is freed by age,
/// which has no effect on calls whose key is within the window.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    calls: HashMap<ids::CallId, Standing>,
    ages: VecDeque<(Instant, ids::CallId, ids::Generation)>,
    next: ids::Offset,
}

impl Ledger {
    /// The offset of the first record that is not applied.
    #[must_use]
    pub const fn next_offset(&self) -> ids::Offset {
        self.next
    }

    /// Starts after a gap that the log no longer retains.
    pub fn skip_to(&mut self, offset: ids::Offset) {
        self.next = self.next.max(offset);
    }

    /// The present claim of a call.
    #[must_use]
    pub fn standing(&self, call: ids::CallId) -> Option<&Standing> {
        self.calls.get(&call)
    }

    /// Applies a record; records before [`Self::next_offset`] have no effect.
    /// `None` is a record that could not be decoded, which all readers skip.
    pub fn apply(
        &mut self,
        offset: ids::Offset,
        record: Option<&calls::CallRecord>,
        now: Instant,
    ) -> Verdict {
        if offset < self.next {
            return Verdict::Ignored;
        }
        self.next = offset.next();
        match record {
            None => Verdict::Ignored,
            Some(calls::CallRecord::Claim(claim)) => self.claim(claim, now),
            Some(calls::CallRecord::Outcome(outcome)) => self.outcome(offset, outcome),
        }
    }

    fn claim(&mut self, claim: &calls::Claim, now: Instant) -> Verdict {
        let next = match self.calls.get(&claim.call) {
            None => ids::Generation(0).next(),
            Some(standing) => {
                let answered = matches!(standing.ran, Some(End::Answered(_)));
                if answered || standing.claim.body != claim.body {
                    return Verdict::Lost;
                }
                standing.claim.generation.next()
            }
        };
        if claim.generation != next {
            return Verdict::Lost;
        }
        let standing = Standing {
            claim: claim.clone(),
            ran: None,
        };
        self.calls.insert(claim.call, standing);
        self.ages.push_back((now, claim.call, claim.generation));
        Verdict::Won
    }

    fn outcome(&mut self, offset: ids::Offset, outcome: &calls::Outcome) -> Verdict {
        let standing = self
            .calls
            .get_mut(&outcome.call)
            .filter(|standing| standing.claim.generation == outcome.generation)
            .filter(|standing| standing.claim.request == outcome.request)
            .filter(|standing| standing.ran.is_none());
        let Some(standing) = standing else {
            return Verdict::Ignored;
        };
        standing.ran = Some(match outcome.ran {
            calls::Ran::Answered(_) => End::Answered(offset),
            calls::Ran::Never => End::Never,
        });
        Verdict::Recorded
    }

    /// Frees calls whose keys are past the window.
    pub fn expire(&mut self, now: Instant) {
        while let Some((since, call, generation)) = self.ages.front().copied() {
            if now.saturating_duration_since(since) < KEEP {
                return;
            }
            self.ages.pop_front();
            if self
                .calls
                .get(&call)
                .is_some_and(|standing| standing.claim.generation == generation)
            {
                self.calls.remove(&call);
            }
        }
    }

    /// Number of calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether there is no call.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
