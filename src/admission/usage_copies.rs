//! Copies of usage records, held until the entry's own records are durable.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::billing;
use crate::ids;

/// Age at which an unconfirmed copy is due to be appended.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_mins(1);

/// Table of copies, one for each request. The capacity is kept by callers, which refuse new
/// work while [`Self::is_nearly_full`].
#[derive(Debug)]
pub struct UsageCopies {
    capacity: usize,
    records: HashMap<ids::RequestId, (Instant, billing::UsageRecord)>,
    /// Requests by the time of their first copy; includes some that have gone.
    order: VecDeque<(Instant, ids::RequestId)>,
}

impl UsageCopies {
    /// Creates an empty table for `capacity` records.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            records: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns whether more than 3/4 of the capacity are used: new work must be refused
    /// then, because it might remain unbilled.
    #[must_use]
    pub fn is_nearly_full(&self) -> bool {
        self.records.len() > self.capacity / 4 * 3
    }

    /// Holds the copy of an attempt. A further attempt at the same request is added to its
    /// copy, because a reader keeps one record for each request.
    pub fn hold(&mut self, record: billing::UsageRecord, now: Instant) {
        let Some((_, held)) = self.records.get_mut(&record.request) else {
            self.order.push_back((now, record.request));
            self.records.insert(record.request, (now, record));
            return;
        };
        held.usage.prompt = held.usage.prompt.saturating_add(record.usage.prompt);
        held.usage.output = held.usage.output.saturating_add(record.usage.output);
        held.cost = held.cost.saturating_add(record.cost);
        held.result = record.result;
        held.ended_at = record.ended_at;
        held.attempts.extend(record.attempts);
    }

    /// Drops the copies of requests whose records are durable.
    pub fn confirm(&mut self, requests: &[ids::RequestId]) {
        for request in requests {
            self.records.remove(request);
        }
        while self
            .order
            .front()
            .is_some_and(|position| self.record(position).is_none())
        {
            self.order.pop_front();
        }
    }

    /// Returns up to `max` copies that have not been confirmed within a minute, oldest
    /// first.
    #[must_use]
    pub fn overdue(&self, max: usize, now: Instant) -> Vec<billing::UsageRecord> {
        let is_due =
            |since: &Instant| now.saturating_duration_since(*since) >= CONFIRMATION_TIMEOUT;
        self.order
            .iter()
            .take_while(|(since, _)| is_due(since))
            .filter_map(|position| self.record(position).cloned())
            .take(max)
            .collect()
    }

    /// Returns up to `max` copies of any age, oldest first.
    #[must_use]
    pub fn oldest(&self, max: usize) -> Vec<billing::UsageRecord> {
        self.order
            .iter()
            .filter_map(|position| self.record(position).cloned())
            .take(max)
            .collect()
    }

    /// Returns the record at a position of the order; `None` if it has gone, or was held
    /// again since.
    fn record(
        &self,
        (since, request): &(Instant, ids::RequestId),
    ) -> Option<&billing::UsageRecord> {
        let (held_since, record) = self.records.get(request)?;
        (held_since == since).then_some(record)
    }

    /// Returns the number of copies held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no copies are held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
