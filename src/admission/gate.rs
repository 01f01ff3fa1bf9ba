//! The exact concurrency limit of an endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::admission;
use crate::admission::first_token;
use crate::fleet;

/// How a request ended, as far as the endpoint's warmth is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Success,
    /// Ended for a reason that says nothing of the endpoint.
    Neutral,
    /// The endpoint failed or its connection was lost.
    Error,
}

/// A place within the limit; given back with [`Gate::leave`].
#[derive(Debug)]
pub struct Permit {
    epoch: u64,
    entered: Instant,
    alone: bool,
}

impl Permit {
    /// When the request was let in.
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
    /// Number of resets; what began before a reset proves nothing of the time after it.
    epoch: u64,
    boot: Option<Arc<str>>,
    first_tokens: first_token::FirstTokens,
    /// Whether a request runs that shares the endpoint with no other.
    occupied: bool,
    /// Lost connections of which it is not known yet whether the endpoint crashed.
    unclear_losses: u32,
}

impl Gate {
    /// A gate in front of a cold endpoint.
    #[must_use]
    pub fn new(limits: admission::Limits) -> Self {
        Self {
            running: 0,
            warmth: admission::AnyWarmth::Cold(admission::Warmth::new(limits, None)),
            epoch: 0,
            boot: None,
            first_tokens: first_token::FirstTokens::default(),
            occupied: false,
            unclear_losses: 0,
        }
    }

    /// Lets a request in; `None` at the limit. A request that runs `alone`
    /// enters only an idle endpoint and keeps others out. None enters while it
    /// is not clear whether the endpoint has crashed: the crash would end it too.
    pub fn try_enter(&mut self, alone: bool, now: Instant) -> Option<Permit> {
        self.warmth = self.warmth.advanced(now);
        let is_held = self.occupied || self.unclear_losses > 0;
        if self.running >= self.limit() || is_held || (alone && self.running > 0) {
            return None;
        }
        self.running += 1;
        if self.running == 1 {
            self.warmth = self.warmth.with_load(true, now);
        }
        self.occupied = alone;
        Some(Permit {
            epoch: self.epoch,
            entered: now,
            alone,
        })
    }

    /// The first token came `took` after the request was passed on. Returns
    /// whether this has reset the gate.
    pub fn first_token(&mut self, permit: &Permit, took: Duration, now: Instant) -> bool {
        let is_cold = self.first_tokens.learn(took) && permit.epoch == self.epoch;
        if is_cold {
            self.reset(now);
        }
        is_cold
    }

    /// A request was given up after it had waited for its first token in
    /// vain. An endpoint that hangs under its load shows itself only by this.
    /// Returns whether this has reset the gate.
    pub fn no_first_token(&mut self, permit: &Permit, waited: Duration, now: Instant) -> bool {
        self.first_tokens.is_cold(waited) && self.first_token(permit, waited, now)
    }

    /// A request has ended. Returns whether this has reset the gate.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is given back once")]
    pub fn leave(&mut self, permit: Permit, outcome: Outcome, now: Instant) -> bool {
        self.running = self.running.saturating_sub(1);
        let Permit { epoch, alone, .. } = permit;
        if alone {
            self.occupied = false;
        }
        let counts = epoch == self.epoch;
        match outcome {
            Outcome::Success if counts => self.warmth = self.warmth.succeeded(now),
            Outcome::Error if counts => self.reset(now),
            _ => {}
        }
        if self.running == 0 {
            self.warmth = self.warmth.with_load(false, now);
        }
        counts && outcome == Outcome::Error
    }

    /// A connection was lost, perhaps by a crash of the endpoint.
    pub const fn suspect_crash(&mut self) {
        self.unclear_losses += 1;
    }

    /// It is clear now what the lost connection meant.
    pub const fn clear_suspicion(&mut self) {
        self.unclear_losses = self.unclear_losses.saturating_sub(1);
    }

    /// The endpoint said which start of it answers. Returns whether this has reset the gate.
    pub fn saw_boot(&mut self, boot: &Arc<str>, now: Instant) -> bool {
        let changed = self.boot.as_ref().is_some_and(|known| known != boot);
        if self.boot.as_ref() != Some(boot) {
            self.boot = Some(Arc::clone(boot));
        }
        if changed {
            self.reset(now);
        }
        changed
    }

    /// Returns to the cold limit at once. Requests that run stay counted, so
    /// none enters until they are fewer than the limit.
    pub fn reset(&mut self, now: Instant) {
        self.epoch += 1;
        let is_loaded = self.running > 0;
        self.warmth = self.warmth.cooled(is_loaded.then_some(now));
    }

    /// Returns to the cold limit so far.
    #[must_use]
    pub const fn resets(&self) -> u64 {
        self.epoch
    }

    /// Requests running.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Requests that may run at a time.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.warmth.limit()
    }

    /// The warmth's name.
    #[must_use]
    pub const fn warmth(&self) -> fleet::Warmth {
        self.warmth.name()
    }

    /// Median time to the first token, where it is known.
    #[must_use]
    pub fn median_first_token(&self) -> Option<Duration> {
        self.first_tokens.median()
    }
}
