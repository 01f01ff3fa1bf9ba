//! Life cycle of the lease in one process, as a typestate: candidate, held, lost.

use std::time::{Duration, Instant};

use crate::ids;
use crate::lease;
use crate::ledger;

/// Validity of the lease, counted from the start of the holder's last successful claim or
/// renewal.
pub const TTL: Duration = Duration::from_secs(10);
/// Additional time after [`TTL`] before another process claims the lease, since the
/// clocks of two machines run at slightly different rates.
const CLAIM_GRACE: Duration = Duration::from_secs(2);
/// Interval between renewals; three fit into [`TTL`].
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// State of a process that does not hold the lease and watches for its expiry.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Time at which the last lease record was seen; the start of the watch before the
    /// first.
    last_seen: Instant,
    pending: Option<Pending>,
}

/// State of the process that holds the lease.
#[derive(Clone, Debug)]
pub struct Held {
    fence: ids::Fence,
    last_offset: ids::Offset,
    /// Start of the last accepted append, from which the validity counts.
    valid_from: Instant,
    pending: Option<Pending>,
}

/// State of a process that held the lease and must no longer act.
#[derive(Clone, Copy, Debug)]
pub struct Lost {
    /// Fencing number that is no longer valid.
    pub fence: ids::Fence,
}

/// A lease record that the process requests to append to the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Ledger entry to append to the log.
    pub entry: ledger::Message,
    /// Time of the request; the validity of the lease counts from it.
    pub started: Instant,
}

/// A request whose record has not appeared in the ledger yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    id: ids::ChangeId,
    started: Instant,
}

impl Pending {
    const fn of(request: &Request) -> Self {
        Self {
            id: request.entry.id,
            started: request.started,
        }
    }
}

/// The lease as seen by one process, in state `S`.
#[derive(Clone, Debug)]
pub struct Lease<S> {
    holder: lease::Holder,
    state: S,
}

impl<S> Lease<S> {
    fn request(
        &self,
        base: Option<ids::Offset>,
        action: ledger::LeaseAction,
        now: Instant,
    ) -> Request {
        let body = ledger::Body::Lease {
            holder: self.holder.clone(),
            base,
            action,
        };
        Request {
            entry: ledger::Message::new(body),
            started: now,
        }
    }
}

impl Lease<Candidate> {
    /// Creates the state of a process that starts to watch the lease at `now`.
    #[must_use]
    pub const fn new(holder: lease::Holder, now: Instant) -> Self {
        let state = Candidate {
            last_seen: now,
            pending: None,
        };
        Self { holder, state }
    }

    /// Records that a lease record was accepted, which restarts the wait for the expiry.
    pub fn record_activity(&mut self, now: Instant) {
        self.state.last_seen = now;
        self.state.pending = None;
    }

    /// Returns a claim if the lease is free or has expired and no own claim is pending.
    pub fn claim(&mut self, row: Option<&ledger::LeaseRow>, now: Instant) -> Option<Request> {
        let vacant = row.is_none_or(|row| row.holder.is_none());
        let silent = now.saturating_duration_since(self.state.last_seen) >= TTL + CLAIM_GRACE;
        let waiting = self
            .state
            .pending
            .as_ref()
            .is_some_and(|request| now.saturating_duration_since(request.started) < TTL);
        if waiting || !(vacant || silent) {
            return None;
        }
        let base = row.map(|row| row.last);
        let request = self.request(base, ledger::LeaseAction::Claim, now);
        self.state.pending = Some(Pending::of(&request));
        Some(request)
    }

    /// Acquires the lease if the accepted record is this process's own claim and younger
    /// than [`TTL`]. A process that was paused since its claim does not acquire it.
    pub fn acquire(self, row: &ledger::LeaseRow, now: Instant) -> Result<Lease<Held>, Self> {
        let started = self
            .state
            .pending
            .as_ref()
            .filter(|request| request.id == row.id)
            .map(|request| request.started)
            .filter(|started| now.saturating_duration_since(*started) < TTL);
        let Some(valid_from) = started.filter(|_| row.holder.as_ref() == Some(&self.holder)) else {
            return Err(self);
        };
        let state = Held {
            fence: row.fence,
            last_offset: row.last,
            valid_from,
            pending: None,
        };
        Ok(Lease {
            holder: self.holder,
            state,
        })
    }
}

impl Lease<Held> {
    /// Returns the fencing number: the offset of the accepted claim.
    #[must_use]
    pub const fn fence(&self) -> ids::Fence {
        self.state.fence
    }

    /// Returns the time from which the holder must not act unless it renews the lease.
    #[must_use]
    pub fn valid_until(&self) -> Instant {
        self.state.valid_from + TTL
    }

    /// Returns a renewal if the last renewal or claim started at least an interval ago.
    pub fn renew(&mut self, now: Instant) -> Option<Request> {
        let last_request = self
            .state
            .pending
            .as_ref()
            .map_or(self.state.valid_from, |request| request.started);
        if now.saturating_duration_since(last_request) < RENEW_INTERVAL {
            return None;
        }
        let request = self.request(
            Some(self.state.last_offset),
            ledger::LeaseAction::Renew,
            now,
        );
        self.state.pending = Some(Pending::of(&request));
        Some(request)
    }

    /// Returns the record that releases the lease.
    #[must_use]
    pub fn release(&self, now: Instant) -> Request {
        self.request(
            Some(self.state.last_offset),
            ledger::LeaseAction::Release,
            now,
        )
    }

    /// Updates the state from the lease's current row. Fails if another process holds the
    /// lease or it has expired.
    pub fn observe(mut self, row: &ledger::LeaseRow, now: Instant) -> Result<Self, Lease<Lost>> {
        if row.last != self.state.last_offset {
            if row.fence != self.state.fence || row.holder.as_ref() != Some(&self.holder) {
                return Err(self.lost());
            }
            self.state.last_offset = row.last;
            // A renewal whose start is not known any more does not extend the validity.
            if let Some(request) = self.state.pending.take()
                && request.id == row.id
            {
                self.state.valid_from = request.started;
            }
        }
        if now >= self.valid_until() {
            return Err(self.lost());
        }
        Ok(self)
    }

    fn lost(self) -> Lease<Lost> {
        let fence = self.state.fence;
        Lease {
            holder: self.holder,
            state: Lost { fence },
        }
    }
}

impl Lease<Lost> {
    /// Returns the fencing number that is no longer valid.
    #[must_use]
    pub const fn fence(&self) -> ids::Fence {
        self.state.fence
    }

    /// Returns to watching the lease as a candidate.
    #[must_use]
    pub fn watch(self, now: Instant) -> Lease<Candidate> {
        Lease::new(self.holder, now)
    }
}
