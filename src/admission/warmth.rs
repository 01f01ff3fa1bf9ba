//! How much of its full load an endpoint bears: cold, ramping, warm.

use std::time::{Duration, Instant};

use crate::fleet;

/// Bounds of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Concurrent requests that the endpoint bears when cold.
    pub cold: u32,
    /// Concurrent requests that the endpoint bears when warm.
    pub max: u32,
    /// Time under load with only successes after which the limit doubles.
    pub ramp_interval: Duration,
    /// Answers that each doubling needs besides; time alone proves little on
    /// a slow endpoint.
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

/// An interval of the ramp. Only time in which requests run counts: an
/// endpoint that idled through the interval has proven nothing.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    loaded: Duration,
    loaded_since: Option<Instant>,
    successes: u32,
}

impl Interval {
    const fn begin(loaded_since: Option<Instant>) -> Self {
        Self {
            loaded: Duration::ZERO,
            loaded_since,
            successes: 0,
        }
    }

    fn loaded(&self, now: Instant) -> Duration {
        let running = self.loaded_since;
        self.loaded + running.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    fn set_loaded(&mut self, is_loaded: bool, now: Instant) {
        self.loaded = self.loaded(now);
        self.loaded_since = is_loaded.then_some(now);
    }

    fn following(&self, now: Instant) -> Self {
        Self::begin(self.loaded_since.map(|_| now))
    }

    /// An interval without any answer proves nothing, so it does not count.
    fn is_earned(&self, limits: &Limits, now: Instant) -> bool {
        self.successes >= limits.ramp_answers.max(1) && self.loaded(now) >= limits.ramp_interval
    }
}

/// At the cold limit.
#[derive(Clone, Copy, Debug)]
pub struct Cold(Interval);

/// Between the cold and the full limit.
#[derive(Clone, Copy, Debug)]
pub struct Ramping {
    limit: u32,
    interval: Interval,
}

/// At the full limit.
#[derive(Clone, Copy, Debug)]
pub struct Warm;

/// Warmth of an endpoint; a step that the state does not allow does not compile.
#[derive(Clone, Copy, Debug)]
pub struct Warmth<S> {
    limits: Limits,
    state: S,
}

impl Warmth<Cold> {
    /// Cold; requests run since `loaded_since`, where any do.
    #[must_use]
    pub const fn new(limits: Limits, loaded_since: Option<Instant>) -> Self {
        Self {
            limits,
            state: Cold(Interval::begin(loaded_since)),
        }
    }

    /// The first doubling.
    #[must_use]
    pub fn ramp(self, now: Instant) -> AnyWarmth {
        raised(
            self.limits,
            self.limits.cold_limit(),
            self.state.0.following(now),
        )
    }
}

impl Warmth<Ramping> {
    /// The next doubling.
    #[must_use]
    pub fn ramp(self, now: Instant) -> AnyWarmth {
        raised(
            self.limits,
            self.state.limit,
            self.state.interval.following(now),
        )
    }
}

impl<S> Warmth<S> {
    /// The endpoint has lost its warmth.
    #[must_use]
    pub fn cooled(self, loaded_since: Option<Instant>) -> Warmth<Cold> {
        Warmth::new(self.limits, loaded_since)
    }
}

fn raised(limits: Limits, from: u32, interval: Interval) -> AnyWarmth {
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

/// Warmth in any state, for a table.
#[derive(Clone, Copy, Debug)]
pub enum AnyWarmth {
    /// At the cold limit.
    Cold(Warmth<Cold>),
    /// Between the limits.
    Ramping(Warmth<Ramping>),
    /// At the full limit.
    Warm(Warmth<Warm>),
}

impl AnyWarmth {
    /// Requests that may run at a time.
    #[must_use]
    pub fn limit(&self) -> u32 {
        match self {
            Self::Cold(warmth) => warmth.limits.cold_limit(),
            Self::Ramping(warmth) => warmth.state.limit,
            Self::Warm(warmth) => warmth.limits.full_limit(),
        }
    }

    /// The state's name in reports.
    #[must_use]
    pub const fn name(&self) -> fleet::Warmth {
        match self {
            Self::Cold(_) => fleet::Warmth::Cold,
            Self::Ramping(_) => fleet::Warmth::Ramping,
            Self::Warm(_) => fleet::Warmth::Warm,
        }
    }

    /// Counts a success, and raises the limit where the interval has been earned.
    #[must_use]
    pub fn succeeded(mut self, now: Instant) -> Self {
        match &mut self {
            Self::Cold(warmth) => warmth.state.0.successes += 1,
            Self::Ramping(warmth) => warmth.state.interval.successes += 1,
            Self::Warm(_) => {}
        }
        self.advanced(now)
    }

    /// Raises the limit where the interval has been earned.
    #[must_use]
    pub fn advanced(self, now: Instant) -> Self {
        match self {
            Self::Cold(warmth) if warmth.state.0.is_earned(&warmth.limits, now) => warmth.ramp(now),
            Self::Ramping(warmth) if warmth.state.interval.is_earned(&warmth.limits, now) => {
                warmth.ramp(now)
            }
            other => other,
        }
    }

    /// Whether requests run from `now` on.
    #[must_use]
    pub fn with_load(mut self, is_loaded: bool, now: Instant) -> Self {
        match &mut self {
            Self::Cold(warmth) => warmth.state.0.set_loaded(is_loaded, now),
            Self::Ramping(warmth) => warmth.state.interval.set_loaded(is_loaded, now),
            Self::Warm(_) => {}
        }
        self
    }

    /// Back to the cold limit; requests run since `loaded_since`, where any do.
    #[must_use]
    pub fn cooled(self, loaded_since: Option<Instant>) -> Self {
        Self::Cold(match self {
            Self::Cold(warmth) => warmth.cooled(loaded_since),
            Self::Ramping(warmth) => warmth.cooled(loaded_since),
            Self::Warm(warmth) => warmth.cooled(loaded_since),
        })
    }
}
