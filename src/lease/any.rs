//! The lease of a process in whichever state it is.

use std::time::Instant;

use crate::ids;
use crate::lease;
use crate::ledger;

/// The lease between two ticks.
#[derive(Clone, Debug)]
pub enum Any {
    /// Another process may hold it.
    Sought(lease::Lease<lease::Sought>, Option<ids::Offset>),
    /// This process holds it.
    Held(lease::Lease<lease::Held>),
}

impl Any {
    /// A process that begins to watch the lease.
    #[must_use]
    pub const fn new(me: lease::Holder, now: Instant) -> Self {
        Self::Sought(lease::Lease::new(me, now), None)
    }

    /// The fencing number and the end of its validity, while the process may act.
    #[must_use]
    pub fn authority(&self, now: Instant) -> Option<(ids::Fence, Instant)> {
        match self {
            Self::Held(held) if now < held.valid_until() => {
                Some((held.fence(), held.valid_until()))
            }
            _ => None,
        }
    }

    /// The state after the lease's row in the ledger has been looked at.
    #[must_use]
    pub fn observe(self, row: Option<&ledger::LeaseRow>, now: Instant) -> Self {
        match (self, row) {
            (Self::Sought(sought, seen), Some(row)) if seen != Some(row.last) => {
                match sought.won(row, now) {
                    Ok(held) => {
                        log::info!("lease: held with fence {}.", held.fence());
                        Self::Held(held)
                    }
                    Err(mut sought) => {
                        sought.saw(now);
                        Self::Sought(sought, Some(row.last))
                    }
                }
            }
            (Self::Held(held), Some(row)) => match held.observe(row, now) {
                Ok(held) => Self::Held(held),
                Err(lost) => {
                    log::warn!("lease: lost, fence {} is no longer valid.", lost.fence());
                    Self::Sought(lost.seek(now), Some(row.last))
                }
            },
            (same, _) => same,
        }
    }

    /// The record that is due now.
    pub fn request(
        &mut self,
        row: Option<&ledger::LeaseRow>,
        now: Instant,
    ) -> Option<lease::Request> {
        match self {
            Self::Sought(sought, _) => sought.claim(row, now),
            Self::Held(held) => held.renew(now),
        }
    }
}
