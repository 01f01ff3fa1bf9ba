//! Copies of usage records until the entry's own are durable.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::billing;
use crate::ids;

/// Time after which a copy that is not confirmed is appended.
const UNCONFIRMED: Duration = Duration::from_mins(1);

/// A bounded table of copies, one for each request.
#[derive(Debug)]
pub struct UsageCopies {
    capacity: usize,
    records: HashMap<ids::RequestId, (Instant, billing::UsageRecord)>,
    /// Requests by the time of their first copy; names some that have gone.
    order: VecDeque<(Instant, ids::RequestId)>,
}

impl UsageCopies {
    /// An empty table for `capacity` records.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            records: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Whether new work must be refused because it might remain unbilled.
    #[must_use]
    pub fn is_nearly_full(&self) -> bool {
        self.records.len() > self.capacity / 4 * 3
    }

    /// Keeps the copy of an attempt. A further attempt at the same request is
    /// added to the copy, since a reader keeps one record for a request.
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

    /// The records of these requests are durable.
    pub fn confirm(&mut self, requests: &[ids::RequestId]) {
        for request in requests {
            self.records.remove(request);
        }
        while self
            .order
            .front()
            .is_some_and(|place| self.record(place).is_none())
        {
            self.order.pop_front();
        }
    }

    /// Up to `max` copies that have not been confirmed in time, oldest first.
    #[must_use]
    pub fn due(&self, max: usize, now: Instant) -> Vec<billing::UsageRecord> {
        let is_due = |since: &Instant| now.saturating_duration_since(*since) >= UNCONFIRMED;
        self.order
            .iter()
            .take_while(|(since, _)| is_due(since))
            .filter_map(|place| self.record(place).cloned())
            .take(max)
            .collect()
    }

    /// Up to `max` copies of any age, oldest first.
    #[must_use]
    pub fn oldest(&self, max: usize) -> Vec<billing::UsageRecord> {
        self.order
            .iter()
            .filter_map(|place| self.record(place).cloned())
            .take(max)
            .collect()
    }

    /// The record that this place in the order stands for.
    fn record(
        &self,
        (since, request): &(Instant, ids::RequestId),
    ) -> Option<&billing::UsageRecord> {
        let (held_since, record) = self.records.get(request)?;
        (held_since == since).then_some(record)
    }

    /// Copies held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no copy is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
