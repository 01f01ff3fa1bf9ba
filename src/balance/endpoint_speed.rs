//! Speed of one endpoint: what it states of this moment, times what its answers have shown.
//!
//! Load pattern: endpoints of one service differ for good, and share their machines with
//! others, which slows them for moments. An endpoint's own usual work time is learned from
//! its statements; an old statement tells no more than that.

use std::time::Duration;

use crate::balance;
use crate::runtime;

/// Time constant with which a stated work time drifts back to the endpoint's usual one.
const DRIFT: Duration = Duration::from_millis(500);
/// Weight of a statement below the usual work time of the endpoint.
const FASTER_STATED_WEIGHT: f64 = 0.5;
/// Weight of one above it. It is low, since moments at which others slow the machine are the
/// exception.
const SLOWER_STATED_WEIGHT: f64 = 0.05;
/// Weight of an answer that was faster than expected.
const FASTER_WEIGHT: f64 = 0.06;
/// Weight of a slower answer. It is lower, since a slow answer may have waited.
const SLOWER_WEIGHT: f64 = 0.02;
/// Range of the learned factor, so that a run of waits can't exclude an endpoint.
const LEARNED_RANGE: (f64, f64) = (0.4, 2.5);
/// Shortest expected reading from which the first byte tells the speed of an engine.
const MIN_READING: Duration = Duration::from_millis(10);

/// Speed of an endpoint that states its work time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSpeed {
    stated: balance::WorkTime,
    stated_at: runtime::Moment,
    /// Usual work time of the endpoint, as a multiple of that of its service.
    usual: f64,
    /// Work time relative to the stated one.
    learned: f64,
}

impl EndpointSpeed {
    /// Creates the speed of an endpoint from its first statement.
    #[must_use]
    pub const fn new(stated: balance::WorkTime, now: runtime::Moment) -> Self {
        Self {
            stated,
            stated_at: now,
            usual: stated.factor(),
            learned: 1.0,
        }
    }

    /// Records what the endpoint states of this moment.
    pub fn state(&mut self, stated: balance::WorkTime, now: runtime::Moment) {
        let factor = stated.factor();
        let weights = (FASTER_STATED_WEIGHT, SLOWER_STATED_WEIGHT);
        self.usual = approach(self.usual, factor, weights);
        self.stated = stated;
        self.stated_at = now;
    }

    /// Last statement, whatever its age.
    #[must_use]
    pub const fn stated(&self) -> balance::WorkTime {
        self.stated
    }

    /// Age of the last statement.
    #[must_use]
    pub fn age(&self, now: runtime::Moment) -> Duration {
        now.saturating_since(self.stated_at)
    }

    /// Work time that is expected at `now` as a multiple of that of the service: the stated
    /// one, which drifts back to the usual one of the endpoint.
    #[must_use]
    pub fn pace(&self, now: runtime::Moment) -> f64 {
        let kept = (-self.age(now).as_secs_f64() / DRIFT.as_secs_f64()).exp();
        kept.mul_add(self.stated.factor() - self.usual, self.usual)
    }

    /// Work time that is expected over a longer time, as a multiple of that of the service.
    #[must_use]
    pub const fn usual(&self) -> f64 {
        self.usual * self.learned
    }

    /// Factor of the answers' times to those that the statements let expect; 1 before the
    /// first answer.
    #[must_use]
    pub const fn learned(&self) -> f64 {
        self.learned
    }

    /// Records that an answer has begun `first` after the send. `reading` is how long the
    /// engine was expected to read its prompt, by this speed; an answer to a short prompt, or
    /// to none, tells nothing.
    pub fn record(&mut self, first: Duration, reading: Duration) {
        if reading < MIN_READING {
            return;
        }
        let (low, high) = LEARNED_RANGE;
        let ratio = first.as_secs_f64() / reading.as_secs_f64();
        let sample = (self.learned * ratio).clamp(low, high);
        self.learned = approach(self.learned, sample, (FASTER_WEIGHT, SLOWER_WEIGHT));
    }
}

/// Moves `known` towards a sample, by the first weight if it is lower and else by the second.
fn approach(known: f64, sample: f64, (lower, higher): (f64, f64)) -> f64 {
    let weight = if sample < known { lower } else { higher };
    weight.mul_add(sample - known, known)
}
