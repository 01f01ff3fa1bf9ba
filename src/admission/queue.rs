//! Queue of requests, ordered by priority, then deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use crate::attempt;

/// Identifies a waiting request in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Properties of a request that decide its position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Priority; requests of a higher one are served first.
    pub priority: attempt::Priority,
    /// Time by which the complete answer is due.
    pub deadline: Instant,
    /// Whether the request shares the endpoint with no other.
    pub exclusive: bool,
}

type Rank = (Reverse<attempt::Priority>, Instant, Ticket);

/// Bounded queue; `T` is the handle by which a waiting request is notified.
#[derive(Debug)]
pub struct Queue<T> {
    capacity: usize,
    next_id: u64,
    waiting: BTreeMap<Rank, (AdmissionRequest, T)>,
    ranks: HashMap<Ticket, Rank>,
}

impl<T> Queue<T> {
    /// Creates an empty queue for `capacity` requests.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next_id: 0,
            waiting: BTreeMap::new(),
            ranks: HashMap::new(),
        }
    }

    /// Returns how many waiting requests would be served before this one.
    #[must_use]
    pub fn count_ahead_of(&self, req: &AdmissionRequest) -> usize {
        self.waiting
            .range(..(Reverse(req.priority), req.deadline, Ticket(self.next_id)))
            .count()
    }

    /// Returns whether no further request fits.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.capacity
    }

    /// Adds a request. The capacity is not checked: the caller has made room.
    pub fn push(&mut self, req: AdmissionRequest, waiter: T) -> Ticket {
        let ticket = Ticket(self.next_id);
        self.next_id += 1;
        let rank = (Reverse(req.priority), req.deadline, ticket);
        self.waiting.insert(rank, (req, waiter));
        self.ranks.insert(ticket, rank);
        ticket
    }

    /// Returns the request that is served next.
    #[must_use]
    pub fn head(&self) -> Option<&AdmissionRequest> {
        self.waiting.first_key_value().map(|(_, (req, _))| req)
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<(AdmissionRequest, T)> {
        let (rank, waiting) = self.waiting.pop_first()?;
        self.ranks.remove(&rank.2);
        Some(waiting)
    }

    /// Removes and returns the request that is served last.
    pub fn pop_last(&mut self) -> Option<(AdmissionRequest, T)> {
        let (rank, waiting) = self.waiting.pop_last()?;
        self.ranks.remove(&rank.2);
        Some(waiting)
    }

    /// Removes a request and returns its waiter; `None` if it is not in the queue.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let rank = self.ranks.remove(&ticket)?;
        self.waiting.remove(&rank).map(|(_, waiter)| waiter)
    }

    /// Removes all requests that cannot start before their deadline and returns their
    /// waiters. `start` returns the time at which a request with that many others ahead of
    /// it starts.
    pub fn take_unreachable(&mut self, start: impl Fn(usize) -> Instant) -> Vec<T> {
        let mut ahead = 0;
        let mut unreachable = Vec::new();
        for (_, deadline, ticket) in self.waiting.keys() {
            if start(ahead) >= *deadline {
                unreachable.push(*ticket);
            } else {
                ahead += 1;
            }
        }
        unreachable
            .into_iter()
            .filter_map(|ticket| self.remove(ticket))
            .collect()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
