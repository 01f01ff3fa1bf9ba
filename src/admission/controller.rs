//! Decides which requests run, wait, or are refused.

use std::time::{Duration, Instant};

use crate::admission;
use crate::admission::service_time;

/// Shortest hint on when to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Why a request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shed {
    /// It cannot start before its deadline.
    Hopeless,
    /// The queue is full of requests that go first.
    Full {
        /// When there may be room.
        retry_after: Duration,
    },
}

/// What becomes of an arriving request.
#[derive(Debug)]
pub enum Arrival {
    /// It runs.
    Enter(admission::Permit),
    /// It waits.
    Wait(admission::Ticket),
    /// It is not run.
    Refuse(Shed),
}

/// What a waiting request is told.
#[derive(Debug)]
pub enum Call<T> {
    /// It runs.
    Start(T, admission::Permit),
    /// It is not run.
    Refuse(T, Shed),
}

/// Gate and queue of an endpoint; `T` is how one who waits is told.
///
/// A request that runs alone holds up those behind it once it is at the
/// queue's head, so that a steady flow of others does not starve it.
#[derive(Debug)]
pub struct Controller<T> {
    gate: admission::Gate,
    queue: admission::Queue<T>,
    service_time: service_time::ServiceTime,
}

impl<T> Controller<T> {
    /// A controller in front of a cold endpoint.
    #[must_use]
    pub fn new(limits: admission::Limits, queue: usize) -> Self {
        Self {
            gate: admission::Gate::new(limits),
            queue: admission::Queue::new(queue),
            service_time: service_time::ServiceTime::default(),
        }
    }

    /// A request arrives. The second value is who else is to be told.
    pub fn arrive(
        &mut self,
        ask: admission::Ask,
        waiter: T,
        now: Instant,
    ) -> (Arrival, Option<Call<T>>) {
        if ask.deadline <= now {
            return (Arrival::Refuse(Shed::Hopeless), None);
        }
        let ahead = self.queue.ahead_of(&ask);
        if ahead == 0
            && let Some(permit) = self.gate.try_enter(ask.alone, now)
        {
            return (Arrival::Enter(permit), None);
        }
        if now + self.service_time.wait(ahead, self.gate.limit()) >= ask.deadline {
            return (Arrival::Refuse(Shed::Hopeless), None);
        }
        let mut displaced = None;
        if self.queue.is_full() {
            let shed = Shed::Full {
                retry_after: self.retry_after(),
            };
            // The new request is the lowest where all others go first.
            if ahead >= self.queue.len() {
                return (Arrival::Refuse(shed), None);
            }
            displaced = self
                .queue
                .pop_last()
                .map(|(_, waiter)| Call::Refuse(waiter, shed));
        }
        let ticket = self.queue.push(ask, waiter);
        (Arrival::Wait(ticket), displaced)
    }

    /// A request that waited has gone away.
    pub fn cancel(&mut self, ticket: admission::Ticket) -> Option<T> {
        self.queue.remove(ticket)
    }

    /// A request has ended. Returns whether the gate was reset.
    pub fn leave(
        &mut self,
        permit: admission::Permit,
        outcome: admission::Outcome,
        now: Instant,
    ) -> bool {
        if outcome == admission::Outcome::Success {
            self.service_time
                .learn(now.saturating_duration_since(permit.entered()));
        }
        self.gate.leave(permit, outcome, now)
    }

    /// Who may start now, and who has waited in vain.
    pub fn calls(&mut self, now: Instant) -> Vec<Call<T>> {
        let mut late = self.queue.take_late(|_| now);
        let mut calls = Vec::new();
        while let Some(ask) = self.queue.head() {
            let Some(permit) = self.gate.try_enter(ask.alone, now) else {
                break;
            };
            match self.queue.pop() {
                Some((_, waiter)) => calls.push(Call::Start(waiter, permit)),
                None => break,
            }
        }
        let (service_time, limit) = (self.service_time, self.gate.limit());
        late.extend(
            self.queue
                .take_late(|ahead| now + service_time.wait(ahead, limit)),
        );
        let refusals = late
            .into_iter()
            .map(|waiter| Call::Refuse(waiter, Shed::Hopeless));
        calls.extend(refusals);
        calls
    }

    /// Empties the queue.
    pub fn drain(&mut self) -> Vec<T> {
        let mut waiters = Vec::new();
        while let Some((_, waiter)) = self.queue.pop() {
            waiters.push(waiter);
        }
        waiters
    }

    /// The gate.
    #[must_use]
    pub const fn gate(&self) -> &admission::Gate {
        &self.gate
    }

    /// The gate, to tell it of the endpoint's state.
    pub const fn gate_mut(&mut self) -> &mut admission::Gate {
        &mut self.gate
    }

    /// Requests waiting.
    #[must_use]
    pub fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// When the queue may have room.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.service_time
            .wait(self.queue.len(), self.gate.limit())
            .max(MIN_RETRY_AFTER)
    }
}
