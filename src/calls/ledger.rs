//! State of all calls within the deduplication window.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::calls;
use crate::ids;

/// Age at which a claim is dropped: the deduplication window, the time by which a key may
/// be dated ahead, and a margin for clock differences.
const CLAIM_RETENTION: Duration = Duration::from_hours(26);

/// Current claim of a call, with its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentClaim {
    /// Claim that won the latest generation.
    pub claim: calls::Claim,
    /// Recorded outcome of the claim; `None` as long as there is none.
    pub outcome: Option<ClaimOutcome>,
}

/// Outcome of a claim. The answer itself stays in the log, which bounds the memory that
/// calls take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The call was answered; its outcome record has this offset.
    Answered(ids::Offset),
    /// The claim was refused or fenced and will never be executed.
    NotExecuted,
}

/// Effect of a record on the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// The claim is the winner of its generation.
    Won,
    /// The claim lost: it is not of the next generation, the call has been answered, or the
    /// body differs.
    Lost,
    /// The outcome is the first of its claim.
    Recorded,
    /// The record has no effect.
    Ignored,
}

/// Ledger of all calls: a pure function of the records applied. Memory is freed by age,
/// which has no effect on calls whose key is within the window.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    calls: HashMap<ids::CallId, CurrentClaim>,
    claims_by_age: VecDeque<(Instant, ids::CallId, ids::Generation)>,
    next_offset: ids::Offset,
}

impl Ledger {
    /// Returns the offset of the next record to apply.
    #[must_use]
    pub const fn next_offset(&self) -> ids::Offset {
        self.next_offset
    }

    /// Skips records that the log no longer retains; never moves back.
    pub fn skip_to(&mut self, offset: ids::Offset) {
        self.next_offset = self.next_offset.max(offset);
    }

    /// Returns the current claim of a call; `None` if there is none.
    #[must_use]
    pub fn current_claim(&self, call: ids::CallId) -> Option<&CurrentClaim> {
        self.calls.get(&call)
    }

    /// Applies a record and returns its effect; records before [`Self::next_offset`] have
    /// none. `None` stands for a record that could not be decoded, which all readers skip.
    pub fn apply(
        &mut self,
        offset: ids::Offset,
        record: Option<&calls::CallRecord>,
        now: Instant,
    ) -> RecordEffect {
        if offset < self.next_offset {
            return RecordEffect::Ignored;
        }
        self.next_offset = offset.next();
        match record {
            None => RecordEffect::Ignored,
            Some(calls::CallRecord::Claim(claim)) => self.apply_claim(claim, now),
            Some(calls::CallRecord::Outcome(outcome)) => self.apply_outcome(offset, outcome),
        }
    }

    fn apply_claim(&mut self, claim: &calls::Claim, now: Instant) -> RecordEffect {
        let next_generation = match self.calls.get(&claim.call) {
            None => ids::Generation(0).next(),
            Some(standing) => {
                let is_answered = matches!(standing.outcome, Some(ClaimOutcome::Answered(_)));
                if is_answered || standing.claim.body != claim.body {
                    return RecordEffect::Lost;
                }
                standing.claim.generation.next()
            }
        };
        if claim.generation != next_generation {
            return RecordEffect::Lost;
        }
        let standing = CurrentClaim {
            claim: claim.clone(),
            outcome: None,
        };
        self.calls.insert(claim.call, standing);
        self.claims_by_age
            .push_back((now, claim.call, claim.generation));
        RecordEffect::Won
    }

    fn apply_outcome(&mut self, offset: ids::Offset, outcome: &calls::Outcome) -> RecordEffect {
        let standing = self
            .calls
            .get_mut(&outcome.call)
            .filter(|standing| standing.claim.generation == outcome.generation)
            .filter(|standing| standing.claim.request == outcome.request)
            .filter(|standing| standing.outcome.is_none());
        let Some(standing) = standing else {
            return RecordEffect::Ignored;
        };
        standing.outcome = Some(match outcome.ran {
            calls::Ran::Answered(_) => ClaimOutcome::Answered(offset),
            calls::Ran::Never => ClaimOutcome::NotExecuted,
        });
        RecordEffect::Recorded
    }

    /// Frees calls whose claims are older than the retention, and whose keys are thus past
    /// the window.
    pub fn expire(&mut self, now: Instant) {
        while let Some((claimed_at, call, generation)) = self.claims_by_age.front().copied() {
            if now.saturating_duration_since(claimed_at) < CLAIM_RETENTION {
                return;
            }
            self.claims_by_age.pop_front();
            if self
                .calls
                .get(&call)
                .is_some_and(|standing| standing.claim.generation == generation)
            {
                self.calls.remove(&call);
            }
        }
    }

    /// Returns the number of calls held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no calls are held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
