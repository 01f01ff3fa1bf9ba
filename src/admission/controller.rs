//! Admission controller: decides which requests run, wait or are refused.

use std::time::{Duration, Instant};

use crate::admission;
use crate::admission::service_time;

/// Minimum hint on when to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request cannot start before its deadline.
    DeadlineUnreachable,
    /// The queue is full of requests that are served first.
    Full {
        /// Estimated time until the queue has room.
        retry_after: Duration,
    },
}

/// Decision on an arriving request.
#[derive(Debug)]
pub enum ArrivalDecision {
    /// The request runs under this permit.
    Admit(admission::Permit),
    /// The request waits in the queue under this ticket.
    Wait(admission::Ticket),
    /// The request is refused for this reason.
    Refuse(RefusalReason),
}

/// Decision on a queued request, of which its waiter is notified.
#[derive(Debug)]
pub enum QueueDecision<T> {
    /// The request runs under this permit.
    Start(T, admission::Permit),
    /// The request is refused for this reason.
    Refuse(T, RefusalReason),
}

/// Gate and queue of an endpoint; `T` is the handle by which a waiting request is notified.
///
/// A request that runs alone blocks those behind it once it is at the head of the queue, so
/// that a steady flow of others does not starve it.
#[derive(Debug)]
pub struct Controller<T> {
    gate: admission::Gate,
    queue: admission::Queue<T>,
    service_time: service_time::ServiceTime,
}

impl<T> Controller<T> {
    /// Creates a controller for a cold endpoint, with room for `queue` waiting requests.
    #[must_use]
    pub fn new(limits: admission::Limits, queue: usize) -> Self {
        Self {
            gate: admission::Gate::new(limits),
            queue: admission::Queue::new(queue),
            service_time: service_time::ServiceTime::default(),
        }
    }

    /// Decides on an arriving request. The second value is a queued request that is
    /// displaced by it and whose waiter must be notified.
    pub fn submit(
        &mut self,
        req: admission::AdmissionRequest,
        waiter: T,
        now: Instant,
    ) -> (ArrivalDecision, Option<QueueDecision<T>>) {
        if req.deadline <= now {
            return (
                ArrivalDecision::Refuse(RefusalReason::DeadlineUnreachable),
                None,
            );
        }
        let ahead = self.queue.count_ahead_of(&req);
        if ahead == 0
            && let Some(permit) = self.gate.try_enter(req.exclusive, now)
        {
            return (ArrivalDecision::Admit(permit), None);
        }
        if now + self.service_time.wait(ahead, self.gate.limit()) >= req.deadline {
            return (
                ArrivalDecision::Refuse(RefusalReason::DeadlineUnreachable),
                None,
            );
        }
        let mut displaced = None;
        if self.queue.is_full() {
            let shed = RefusalReason::Full {
                retry_after: self.retry_after(),
            };
            // The new request ranks last if all queued ones are served before it.
            if ahead >= self.queue.len() {
                return (ArrivalDecision::Refuse(shed), None);
            }
            displaced = self
                .queue
                .pop_last()
                .map(|(_, waiter)| QueueDecision::Refuse(waiter, shed));
        }
        let ticket = self.queue.push(req, waiter);
        (ArrivalDecision::Wait(ticket), displaced)
    }

    /// Removes a queued request that is no longer wanted and returns its waiter; `None` if
    /// it has left the queue already.
    pub fn cancel(&mut self, ticket: admission::Ticket) -> Option<T> {
        self.queue.remove(ticket)
    }

    /// Releases the permit of a request that has ended. Returns whether the gate was reset.
    pub fn release(
        &mut self,
        permit: admission::Permit,
        outcome: admission::Outcome,
        now: Instant,
    ) -> bool {
        if outcome == admission::Outcome::Success {
            self.service_time
                .record(now.saturating_duration_since(permit.entered()));
        }
        self.gate.release(permit, outcome, now)
    }

    /// Takes the queued requests that may start now, and those that can no longer start
    /// before their deadline.
    pub fn take_decisions(&mut self, now: Instant) -> Vec<QueueDecision<T>> {
        let mut unreachable = self.queue.take_unreachable(|_| now);
        let mut decisions = Vec::new();
        while let Some(req) = self.queue.head() {
            let Some(permit) = self.gate.try_enter(req.exclusive, now) else {
                break;
            };
            match self.queue.pop() {
                Some((_, waiter)) => decisions.push(QueueDecision::Start(waiter, permit)),
                None => break,
            }
        }
        let (service_time, limit) = (self.service_time, self.gate.limit());
        unreachable.extend(
            self.queue
                .take_unreachable(|ahead| now + service_time.wait(ahead, limit)),
        );
        let refusals = unreachable
            .into_iter()
            .map(|waiter| QueueDecision::Refuse(waiter, RefusalReason::DeadlineUnreachable));
        decisions.extend(refusals);
        decisions
    }

    /// Empties the queue and returns the waiters in order of service.
    pub fn drain(&mut self) -> Vec<T> {
        let mut waiters = Vec::new();
        while let Some((_, waiter)) = self.queue.pop() {
            waiters.push(waiter);
        }
        waiters
    }

    /// Returns the concurrency gate of the endpoint.
    #[must_use]
    pub const fn gate(&self) -> &admission::Gate {
        &self.gate
    }

    /// Returns the gate, to update it with the state of the endpoint.
    pub const fn gate_mut(&mut self) -> &mut admission::Gate {
        &mut self.gate
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Returns the estimated time until the queue has room; at least 100 ms.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.service_time
            .wait(self.queue.len(), self.gate.limit())
            .max(MIN_RETRY_AFTER)
    }
}
