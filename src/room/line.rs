//! Order of the requests that wait for a place.
//!
//! Load pattern: one team sends many times its usual, urgent and other requests compete, and
//! callers repeat at once. Among the teams of a priority places are shared by expected work
//! (self-clocked fair queueing, Golestani), so a team that sends more waits behind itself.
//! A request becomes more urgent as it waits.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::SlotMap;

use crate::ids;
use crate::room;
use crate::runtime;

slotmap::new_key_type! {
    /// Key of a waiting request in the table of a line.
    pub struct WaiterKey;
}

/// Part of the time for which a request may wait after which it counts as one priority
/// more urgent.
const AGING_DIVISOR: u32 = 4;

/// What decides the position of a request in the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Team of the caller; requests without one share a turn.
    pub team: Option<ids::TeamName>,
    /// Expected time for which it takes a place.
    pub work: Duration,
    /// Maximum time for which it may wait.
    pub patience: Duration,
}

/// Row of a waiting request.
#[derive(Debug)]
struct Row {
    claim: Claim,
    joined: runtime::Moment,
    /// Work that its team's fair share had to reach first; the lowest goes first.
    start: Duration,
    /// Order of joining.
    number: u64,
    /// Whether an endpoint that it may use was open when it last looked.
    is_ready: bool,
}

type Rank = (u8, Duration, u64);

impl Row {
    fn rank(&self, now: runtime::Moment) -> Rank {
        let step = (self.claim.patience / AGING_DIVISOR).max(Duration::from_millis(1));
        let waited = now.saturating_since(self.joined).as_millis() / step.as_millis();
        let waited = u8::try_from(waited).unwrap_or(u8::MAX);
        let urgency = self.claim.priority.saturating_sub(waited);
        (urgency, self.start, self.number)
    }
}

/// Requests that wait for a place of one service at one entry.
#[derive(Debug, Default)]
pub struct Line {
    rows: SlotMap<WaiterKey, Row>,
    /// Work that the requests of each team have claimed since the line was last empty.
    claimed: HashMap<Option<ids::TeamName>, Duration>,
    /// Claimed work up to which places were given.
    served: Duration,
    joined: u64,
}

impl Line {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns how many waiting requests would go before one that joins now. Those whose
    /// endpoints are closed do not go before one that `is_ready`.
    #[must_use]
    pub fn ahead_of(&self, claim: &Claim, is_ready: bool, now: runtime::Moment) -> usize {
        let rank = (claim.priority, self.start_of(claim), self.joined);
        let rows = self.rows.values();
        rows.filter(|row| row.is_ready || !is_ready)
            .filter(|row| row.rank(now) < rank)
            .count()
    }

    fn start_of(&self, claim: &Claim) -> Duration {
        let claimed = self.claimed.get(&claim.team).copied().unwrap_or_default();
        claimed.max(self.served)
    }

    /// Adds a request.
    pub fn join(&mut self, claim: Claim, now: runtime::Moment) -> room::Ticket<room::Waiting> {
        let start = self.start_of(&claim);
        self.claimed.insert(claim.team.clone(), start + claim.work);
        let row = Row {
            claim,
            joined: now,
            start,
            number: self.joined,
            is_ready: false,
        };
        self.joined += 1;
        room::Ticket::new(self.rows.insert(row))
    }

    /// Records whether an endpoint that the request may use is open. Returns whether one was
    /// when it last looked.
    pub fn mark(&mut self, ticket: &room::Ticket<room::Waiting>, is_ready: bool) -> bool {
        let row = self.rows.get_mut(ticket.key());
        row.is_some_and(|row| std::mem::replace(&mut row.is_ready, is_ready))
    }

    /// Returns when the request has waited as long as it may.
    #[must_use]
    pub fn patience_ends(&self, ticket: &room::Ticket<room::Waiting>) -> runtime::Moment {
        let row = self.rows.get(ticket.key());
        row.map_or_else(runtime::Moment::default, |row| {
            row.joined.saturating_add(row.claim.patience)
        })
    }

    /// Returns the request that goes next among those for which an endpoint was open.
    #[must_use]
    pub fn first_ready(&self, now: runtime::Moment) -> Option<WaiterKey> {
        let ready = self.rows.iter().filter(|(_, row)| row.is_ready);
        let first = ready.min_by_key(|(_, row)| row.rank(now))?;
        Some(first.0)
    }

    /// Takes a request whose turn has come out of the line.
    pub fn call(&mut self, ticket: room::Ticket<room::Waiting>) -> room::Ticket<room::Called> {
        if let Some(row) = self.rows.remove(ticket.key()) {
            self.served = self.served.max(row.start);
        }
        self.forget_idle_teams();
        ticket.into()
    }

    /// Takes out a request that gives up its place; its team may use it for another.
    pub fn leave(&mut self, ticket: room::Ticket<room::Waiting>) {
        let key = ticket.key();
        drop(ticket);
        if let Some(row) = self.rows.remove(key)
            && let Some(claimed) = self.claimed.get_mut(&row.claim.team)
        {
            *claimed = claimed.saturating_sub(row.claim.work);
        }
        self.forget_idle_teams();
    }

    fn forget_idle_teams(&mut self) {
        let served = self.served;
        self.claimed.retain(|_, claimed| *claimed > served);
        if self.rows.is_empty() {
            self.claimed.clear();
            self.served = Duration::ZERO;
        }
    }
}
