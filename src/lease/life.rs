//! Life cycle of the lease in one process.

use std::time::{Duration, Instant};

use crate::ids;
use crate::lease;
use crate::ledger;

/// Time since the start of the last successful renewal in which the holder may act.
pub const TTL: Duration = Duration::from_secs(10);
/// Time beyond [`TTL`] after which another process claims: covers clocks that
/// run at slightly different rates.
const GRACE: Duration = Duration::from_secs(2);
/// Time between renewals; three fit into [`TTL`].
const RENEW: Duration = Duration::from_secs(3);

/// Another process may hold the lease.
#[derive(Clone, Debug)]
pub struct Sought {
    /// When a record of the lease was last seen.
    seen: Instant,
    pending: Option<Pending>,
}

/// This process holds the lease.
#[derive(Clone, Debug)]
pub struct Held {
    fence: ids::Fence,
    last: ids::Offset,
    /// Start of the last append that was accepted.
    since: Instant,
    pending: Option<Pending>,
}

/// This process held the lease.
#[derive(Clone, Copy, Debug)]
pub struct Lost {
    /// The fencing number that is no longer valid.
    pub fence: ids::Fence,
}

/// A record that the process wants appended.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The record.
    pub entry: ledger::Entry,
    /// When the process asked for it.
    pub started: Instant,
}

/// A request whose record has not been seen yet.
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

/// The lease as one process sees it; `S` is its state.
#[derive(Clone, Debug)]
pub struct Lease<S> {
    me: lease::Holder,
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
            holder: self.me.clone(),
            base,
            action,
        };
        Request {
            entry: ledger::Entry::new(body),
            started: now,
        }
    }
}

impl Lease<Sought> {
    /// A process that begins to watch the lease.
    #[must_use]
    pub const fn new(me: lease::Holder, now: Instant) -> Self {
        let state = Sought {
            seen: now,
            pending: None,
        };
        Self { me, state }
    }

    /// Notes that a record of the lease was accepted.
    pub fn saw(&mut self, now: Instant) {
        self.state.seen = now;
        self.state.pending = None;
    }

    /// A claim, where no process can hold the lease any more.
    pub fn claim(&mut self, row: Option<&ledger::LeaseRow>, now: Instant) -> Option<Request> {
        let vacant = row.is_none_or(|row| row.holder.is_none());
        let silent = now.saturating_duration_since(self.state.seen) >= TTL + GRACE;
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

    /// Takes the lease where the accepted record is this process's own claim
    /// and still fresh. A process that was paused since it claimed does not.
    pub fn won(self, row: &ledger::LeaseRow, now: Instant) -> Result<Lease<Held>, Self> {
        let started = self
            .state
            .pending
            .as_ref()
            .filter(|request| request.id == row.id)
            .map(|request| request.started)
            .filter(|started| now.saturating_duration_since(*started) < TTL);
        let Some(since) = started.filter(|_| row.holder.as_ref() == Some(&self.me)) else {
            return Err(self);
        };
        let state = Held {
            fence: row.fence,
            last: row.last,
            since,
            pending: None,
        };
        Ok(Lease { me: self.me, state })
    }
}

impl Lease<Held> {
    /// The fencing number.
    #[must_use]
    pub const fn fence(&self) -> ids::Fence {
        self.state.fence
    }

    /// The moment from which the holder must not act.
    #[must_use]
    pub fn valid_until(&self) -> Instant {
        self.state.since + TTL
    }

    /// A renewal, where one is due.
    pub fn renew(&mut self, now: Instant) -> Option<Request> {
        let asked = self
            .state
            .pending
            .as_ref()
            .map_or(self.state.since, |request| request.started);
        if now.saturating_duration_since(asked) < RENEW {
            return None;
        }
        let request = self.request(Some(self.state.last), ledger::LeaseAction::Renew, now);
        self.state.pending = Some(Pending::of(&request));
        Some(request)
    }

    /// The record that gives the lease up.
    #[must_use]
    pub fn release(&self, now: Instant) -> Request {
        self.request(Some(self.state.last), ledger::LeaseAction::Release, now)
    }

    /// Notes the lease's present row. The lease is lost where another process
    /// has it or the time since the last renewal is too long.
    pub fn observe(mut self, row: &ledger::LeaseRow, now: Instant) -> Result<Self, Lease<Lost>> {
        if row.last != self.state.last {
            if row.fence != self.state.fence || row.holder.as_ref() != Some(&self.me) {
                return Err(self.lost());
            }
            self.state.last = row.last;
            // A renewal whose start is no longer known extends nothing.
            if let Some(request) = self.state.pending.take()
                && request.id == row.id
            {
                self.state.since = request.started;
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
            me: self.me,
            state: Lost { fence },
        }
    }
}

impl Lease<Lost> {
    /// The fencing number that is no longer valid.
    #[must_use]
    pub const fn fence(&self) -> ids::Fence {
        self.state.fence
    }

    /// Begins to watch the lease again.
    #[must_use]
    pub fn seek(self, now: Instant) -> Lease<Sought> {
        Lease::new(self.me, now)
    }
}
