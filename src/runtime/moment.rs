//! Timestamps of a clock that also runs while the machine is suspended.

use std::fmt;
use std::time::Duration;

use rustix::time::{self, ClockId};

/// A timestamp on the boot-time clock, relative to the start of the machine.
/// Unlike `Instant`, it includes time in which the machine was suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(Duration);

impl Moment {
    /// Returns the current time.
    #[must_use]
    pub fn now() -> Self {
        let at = time::clock_gettime(ClockId::Boottime);
        Self(Duration::new(
            u64::try_from(at.tv_sec).unwrap_or_default(),
            u32::try_from(at.tv_nsec).unwrap_or_default(),
        ))
    }

    /// Creates a timestamp from the milliseconds since the start of the machine.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the milliseconds since the start of the machine.
    #[must_use]
    pub fn as_millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the time elapsed since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub fn saturating_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the timestamp `delay` later; saturates at the maximum.
    #[must_use]
    pub fn saturating_add(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s", self.0.as_secs_f64())
    }
}
