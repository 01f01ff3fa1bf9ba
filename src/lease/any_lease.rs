//! The lease of a process in any state of its life cycle.

use std::time::Instant;

use crate::ids;
use crate::lease;
use crate::ledger;

/// State of the lease in this process, kept from one tick to the next.
#[derive(Clone, Debug)]
pub enum AnyLease {
    /// Another process may hold the lease. Carries the offset of the last lease record
    /// seen, if any.
    Candidate(lease::Lease<lease::Candidate>, Option<ids::Offset>),
    /// This process holds the lease.
    Held(lease::Lease<lease::Held>),
}

impl AnyLease {
    /// Creates the state of a process that starts to watch the lease at `now`.
    #[must_use]
    pub const fn new(holder: lease::Holder, now: Instant) -> Self {
        Self::Candidate(lease::Lease::new(holder, now), None)
    }

    /// Returns the fencing number and the end of its validity; `None` unless this process
    /// holds a valid lease.
    #[must_use]
    pub fn authority(&self, now: Instant) -> Option<(ids::Fence, Instant)> {
        match self {
            Self::Held(held) if now < held.valid_until() => {
                Some((held.fence(), held.valid_until()))
            }
            _ => None,
        }
    }

    /// Returns the state after comparison with `row`, the lease's row in the ledger.
    #[must_use]
    pub fn observe(self, row: Option<&ledger::LeaseRow>, now: Instant) -> Self {
        match (self, row) {
            (Self::Candidate(candidate, last_offset), Some(row))
                if last_offset != Some(row.last) =>
            {
                match candidate.acquire(row, now) {
                    Ok(held) => {
                        log::info!("lease: held with fence {}.", held.fence());
                        Self::Held(held)
                    }
                    Err(mut candidate) => {
                        candidate.record_activity(now);
                        Self::Candidate(candidate, Some(row.last))
                    }
                }
            }
            (Self::Held(held), Some(row)) => match held.observe(row, now) {
                Ok(held) => Self::Held(held),
                Err(lost) => {
                    log::warn!(
                        "lease: lost, the fencing number {} is no longer valid.",
                        lost.fence()
                    );
                    Self::Candidate(lost.watch(now), Some(row.last))
                }
            },
            (same, _) => same,
        }
    }

    /// Returns the record to append now, a claim or a renewal; `None` if none is due.
    pub fn request(
        &mut self,
        row: Option<&ledger::LeaseRow>,
        now: Instant,
    ) -> Option<lease::Request> {
        match self {
            Self::Candidate(candidate, _) => candidate.claim(row, now),
            Self::Held(held) => held.renew(now),
        }
    }
}
