//! Exact concurrency limit of an endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::admission;
use crate::admission::first_token;
use crate::fleet;

/// Outcome of a request, as far as it concerns the warmth of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered the request.
    Success,
    /// The request ended for a reason that shows nothing about the endpoint.
    Neutral,
    /// The endpoint failed or its connection was lost.
    Error,
}

/// Slot within the limit; released with [`Gate::release`].
#[derive(Debug)]
pub struct Permit {
    epoch: u64,
    entered: Instant,
    exclusive: bool,
}

impl Permit {
    /// Returns when the request was admitted.
    #[must_use]
    pub const fn entered(&self) -> Instant {
        self.entered
    }
}

/// Counts running requests against the limit that the endpoint's warmth allows.
#[derive(Clone, Debug)]
pub struct Gate {
    running: u32,
    warmth: admission::AnyWarmth,
    /// Number of resets; requests admitted before a reset prove nothing about the time
    /// after it.
    epoch: u64,
    boot_id: Option<Arc<str>>,
    first_token_times: first_token::FirstTokenTimes,
    /// Whether a request runs that shares the endpoint with no other.
    is_exclusive: bool,
    /// Lost connections for which it is not known yet whether the endpoint crashed.
    unresolved_losses: u32,
}

impl Gate {
    /// Creates a gate for a cold endpoint.
    #[must_use]
    pub fn new(limits: admission::Limits) -> Self {
        Self {
            running: 0,
            warmth: admission::AnyWarmth::Cold(admission::Warmth::new(limits, None)),
            epoch: 0,
            boot_id: None,
            first_token_times: first_token::FirstTokenTimes::default(),
            is_exclusive: false,
            unresolved_losses: 0,
        }
    }

    /// Admits a request; `None` at the limit. An `exclusive` request is admitted only
    /// to an idle endpoint and keeps others out. None is admitted while it is unclear
    /// whether the endpoint has crashed, because the crash would end it too.
    pub fn try_enter(&mut self, exclusive: bool, now: Instant) -> Option<Permit> {
        self.warmth = self.warmth.advanced(now);
        let is_blocked = self.is_exclusive || self.unresolved_losses > 0;
        if self.running >= self.limit() || is_blocked || (exclusive && self.running > 0) {
            return None;
        }
        self.running += 1;
        if self.running == 1 {
            self.warmth = self.warmth.with_busy(true, now);
        }
        self.is_exclusive = exclusive;
        Some(Permit {
            epoch: self.epoch,
            entered: now,
            exclusive,
        })
    }

    /// Records that the first token came `took` after the request was passed on. Returns
    /// whether this has reset the gate.
    pub fn record_first_token(&mut self, permit: &Permit, took: Duration, now: Instant) -> bool {
        let is_cold = self.first_token_times.record(took) && permit.epoch == self.epoch;
        if is_cold {
            self.reset(now);
        }
        is_cold
    }

    /// Records that a request ended after it had waited for its first token in vain. This
    /// is the only sign of an endpoint that stops answering under its load. Returns whether
    /// this has reset the gate.
    pub fn record_missed_first_token(
        &mut self,
        permit: &Permit,
        waited: Duration,
        now: Instant,
    ) -> bool {
        self.first_token_times.is_cold(waited) && self.record_first_token(permit, waited, now)
    }

    /// Releases the permit of a request that has ended. Returns whether this has reset the
    /// gate.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is given back once")]
    pub fn release(&mut self, permit: Permit, outcome: Outcome, now: Instant) -> bool {
        self.running = self.running.saturating_sub(1);
        let Permit {
            epoch, exclusive, ..
        } = permit;
        if exclusive {
            self.is_exclusive = false;
        }
        let is_current_epoch = epoch == self.epoch;
        match outcome {
            Outcome::Success if is_current_epoch => self.warmth = self.warmth.succeeded(now),
            Outcome::Error if is_current_epoch => self.reset(now),
            _ => {}
        }
        if self.running == 0 {
            self.warmth = self.warmth.with_busy(false, now);
        }
        is_current_epoch && outcome == Outcome::Error
    }

    /// Records a lost connection, which a crash of the endpoint may have caused.
    pub const fn record_connection_loss(&mut self) {
        self.unresolved_losses += 1;
    }

    /// Records that the cause of a lost connection is known.
    pub const fn resolve_connection_loss(&mut self) {
        self.unresolved_losses = self.unresolved_losses.saturating_sub(1);
    }

    /// Records the boot id under which the endpoint answers. Returns whether a new one has
    /// reset the gate.
    pub fn observe_boot_id(&mut self, boot: &Arc<str>, now: Instant) -> bool {
        let has_changed = self.boot_id.as_ref().is_some_and(|known| known != boot);
        if self.boot_id.as_ref() != Some(boot) {
            self.boot_id = Some(Arc::clone(boot));
        }
        if has_changed {
            self.reset(now);
        }
        has_changed
    }

    /// Returns to the cold limit at once. Running requests stay counted, so none is
    /// admitted until they are fewer than the limit.
    pub fn reset(&mut self, now: Instant) {
        self.epoch += 1;
        let is_busy = self.running > 0;
        self.warmth = self.warmth.cooled(is_busy.then_some(now));
    }

    /// Returns the number of resets to the cold limit so far.
    #[must_use]
    pub const fn resets(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of running requests.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of requests that may run at a time.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.warmth.limit()
    }

    /// Returns the state of the warmth, as used in reports.
    #[must_use]
    pub const fn warmth(&self) -> fleet::Warmth {
        self.warmth.name()
    }

    /// Returns the median time to the first token; `None` if there are too few samples.
    #[must_use]
    pub fn median_first_token(&self) -> Option<Duration> {
        self.first_token_times.median()
    }
}
