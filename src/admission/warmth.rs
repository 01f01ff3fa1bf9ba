//! Warmth of an endpoint, which decides how much of its full load it can serve: cold,
//! ramping or warm.

use std::time::{Duration, Instant};

use crate::fleet;

/// Concurrency limits and ramp of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Concurrent requests that a cold endpoint can serve.
    pub cold: u32,
    /// Concurrent requests that a warm endpoint can serve.
    pub max: u32,
    /// Time under load with only successes after which the limit doubles.
    pub ramp_interval: Duration,
    /// Answers that each doubling requires besides the time, which alone proves little on a
    /// slow endpoint.
    pub ramp_answers: u32,
}

impl Limits {
    fn cold_limit(&self) -> u32 {
        self.cold.min(self.max).max(1)
    }

    fn full_limit(&self) -> u32 {
        self.max.max(1)
    }
}

/// Interval of the ramp. Only time in which requests run counts: an endpoint that idled
/// through the interval has proven nothing.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    busy_time: Duration,
    busy_since: Option<Instant>,
    successes: u32,
}

impl Interval {
    const fn begin(busy_since: Option<Instant>) -> Self {
        Self {
            busy_time: Duration::ZERO,
            busy_since,
            successes: 0,
        }
    }

    fn busy_time(&self, now: Instant) -> Duration {
        let running = self.busy_since;
        self.busy_time
            + running.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    fn set_busy(&mut self, is_busy: bool, now: Instant) {
        self.busy_time = self.busy_time(now);
        self.busy_since = is_busy.then_some(now);
    }

    fn next_interval(&self, now: Instant) -> Self {
        Self::begin(self.busy_since.map(|_| now))
    }

    /// Returns whether the limit may double. An interval without any answer proves nothing,
    /// so at least one is required.
    fn completed(&self, limits: &Limits, now: Instant) -> bool {
        self.successes >= limits.ramp_answers.max(1) && self.busy_time(now) >= limits.ramp_interval
    }
}

/// State at the cold limit.
#[derive(Clone, Copy, Debug)]
pub struct Cold(Interval);

/// State between the cold and the full limit.
#[derive(Clone, Copy, Debug)]
pub struct Ramping {
    limit: u32,
    interval: Interval,
}

/// State at the full limit.
#[derive(Clone, Copy, Debug)]
pub struct Warm;

/// Warmth of an endpoint; a transition that the state does not allow does not compile.
#[derive(Clone, Copy, Debug)]
pub struct Warmth<S> {
    limits: Limits,
    state: S,
}

impl Warmth<Cold> {
    /// Creates the cold state; requests have been running since `busy_since`, if any are.
    #[must_use]
    pub const fn new(limits: Limits, busy_since: Option<Instant>) -> Self {
        Self {
            limits,
            state: Cold(Interval::begin(busy_since)),
        }
    }

    /// Doubles the limit for the first time.
    #[must_use]
    pub fn ramp(self, now: Instant) -> AnyWarmth {
        doubled(
            self.limits,
            self.limits.cold_limit(),
            self.state.0.next_interval(now),
        )
    }
}

impl Warmth<Ramping> {
    /// Doubles the limit once more.
    #[must_use]
    pub fn ramp(self, now: Instant) -> AnyWarmth {
        doubled(
            self.limits,
            self.state.limit,
            self.state.interval.next_interval(now),
        )
    }
}

impl<S> Warmth<S> {
    /// Returns to the cold limit; requests have been running since `busy_since`, if any
    /// are.
    #[must_use]
    pub fn cooled(self, busy_since: Option<Instant>) -> Warmth<Cold> {
        Warmth::new(self.limits, busy_since)
    }
}

fn doubled(limits: Limits, from: u32, interval: Interval) -> AnyWarmth {
    let limit = from.saturating_mul(2);
    if limit >= limits.full_limit() {
        return AnyWarmth::Warm(Warmth {
            limits,
            state: Warm,
        });
    }
    AnyWarmth::Ramping(Warmth {
        limits,
        state: Ramping { limit, interval },
    })
}

/// Warmth in any state, for storage in a table.
#[derive(Clone, Copy, Debug)]
pub enum AnyWarmth {
    /// The endpoint is at the cold limit.
    Cold(Warmth<Cold>),
    /// The endpoint is between the cold and the full limit.
    Ramping(Warmth<Ramping>),
    /// The endpoint is at the full limit.
    Warm(Warmth<Warm>),
}

impl AnyWarmth {
    /// Returns the number of requests that may run at a time.
    #[must_use]
    pub fn limit(&self) -> u32 {
        match self {
            Self::Cold(warmth) => warmth.limits.cold_limit(),
            Self::Ramping(warmth) => warmth.state.limit,
            Self::Warm(warmth) => warmth.limits.full_limit(),
        }
    }

    /// Returns the name of the state in reports.
    #[must_use]
    pub const fn name(&self) -> fleet::Warmth {
        match self {
            Self::Cold(_) => fleet::Warmth::Cold,
            Self::Ramping(_) => fleet::Warmth::Ramping,
            Self::Warm(_) => fleet::Warmth::Warm,
        }
    }

    /// Counts a success, and doubles the limit if the interval has been completed.
    #[must_use]
    pub fn succeeded(mut self, now: Instant) -> Self {
        match &mut self {
            Self::Cold(warmth) => warmth.state.0.successes += 1,
            Self::Ramping(warmth) => warmth.state.interval.successes += 1,
            Self::Warm(_) => {}
        }
        self.advanced(now)
    }

    /// Doubles the limit if the interval has been completed.
    #[must_use]
    pub fn advanced(self, now: Instant) -> Self {
        match self {
            Self::Cold(warmth) if warmth.state.0.completed(&warmth.limits, now) => warmth.ramp(now),
            Self::Ramping(warmth) if warmth.state.interval.completed(&warmth.limits, now) => {
                warmth.ramp(now)
            }
            other => other,
        }
    }

    /// Records whether requests run from `now` on.
    #[must_use]
    pub fn with_busy(mut self, is_busy: bool, now: Instant) -> Self {
        match &mut self {
            Self::Cold(warmth) => warmth.state.0.set_busy(is_busy, now),
            Self::Ramping(warmth) => warmth.state.interval.set_busy(is_busy, now),
            Self::Warm(_) => {}
        }
        self
    }

    /// Returns to the cold limit; requests have been running since `busy_since`, if any
    /// are.
    #[must_use]
    pub fn cooled(self, busy_since: Option<Instant>) -> Self {
        Self::Cold(match self {
            Self::Cold(warmth) => warmth.cooled(busy_since),
            Self::Ramping(warmth) => warmth.cooled(busy_since),
            Self::Warm(warmth) => warmth.cooled(busy_since),
        })
    }
}
