//! Requests that wait for a place, ordered by priority, then deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use crate::attempt;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What decides a request's place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Order of service.
    pub priority: attempt::Priority,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// Whether the request shares the endpoint with no other.
    pub alone: bool,
}

type Rank = (Reverse<attempt::Priority>, Instant, Ticket);

/// A bounded queue; `T` is how the one who waits is told.
#[derive(Debug)]
pub struct Queue<T> {
    capacity: usize,
    next: u64,
    waiting: BTreeMap<Rank, (Ask, T)>,
    ranks: HashMap<Ticket, Rank>,
}

impl<T> Queue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next: 0,
            waiting: BTreeMap::new(),
            ranks: HashMap::new(),
        }
    }

    /// Requests that would be served before `ask`.
    #[must_use]
    pub fn ahead_of(&self, ask: &Ask) -> usize {
        self.waiting
            .range(..(Reverse(ask.priority), ask.deadline, Ticket(self.next)))
            .count()
    }

    /// Whether no further request fits.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.capacity
    }

    /// Adds a request; the caller has made room.
    pub fn push(&mut self, ask: Ask, waiter: T) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let rank = (Reverse(ask.priority), ask.deadline, ticket);
        self.waiting.insert(rank, (ask, waiter));
        self.ranks.insert(ticket, rank);
        ticket
    }

    /// The request that is served next.
    #[must_use]
    pub fn head(&self) -> Option<&Ask> {
        self.waiting.first_key_value().map(|(_, (ask, _))| ask)
    }

    /// Takes the request that is served next.
    pub fn pop(&mut self) -> Option<(Ask, T)> {
        let (rank, waiting) = self.waiting.pop_first()?;
        self.ranks.remove(&rank.2);
        Some(waiting)
    }

    /// Takes the request that is served last.
    pub fn pop_last(&mut self) -> Option<(Ask, T)> {
        let (rank, waiting) = self.waiting.pop_last()?;
        self.ranks.remove(&rank.2);
        Some(waiting)
    }

    /// Removes a request that no one waits for any more.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let rank = self.ranks.remove(&ticket)?;
        self.waiting.remove(&rank).map(|(_, waiter)| waiter)
    }

    /// Takes all requests that cannot start before their deadline, where
    /// `start` tells when a request starts that so many others go before.
    pub fn take_late(&mut self, start: impl Fn(usize) -> Instant) -> Vec<T> {
        let mut ahead = 0;
        let mut late = Vec::new();
        for (_, deadline, ticket) in self.waiting.keys() {
            if start(ahead) >= *deadline {
                late.push(*ticket);
            } else {
                ahead += 1;
            }
        }
        late.into_iter()
            .filter_map(|ticket| self.remove(ticket))
            .collect()
    }

    /// Requests waiting.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
