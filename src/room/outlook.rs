//! What a refused caller can expect.
//!
//! Load pattern: all endpoints of a service pause or are lost, and their callers return
//! again and again to the same state.

use std::fmt;
use std::time::Duration;

use crate::runtime;

/// Longest time that a caller waits before it returns, as a fraction of the time that it
/// has left.
const CALLER_WAIT_FRACTION: f64 = 1.0 / 3.0;
/// Added to the time that a caller has left, so that a rounded one is still beyond it.
const BEYOND: Duration = Duration::from_millis(50);

/// When a refused request could find a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outlook {
    /// A place is expected after this time.
    In(Duration),
    /// Nothing tells when.
    Unknown,
    /// The service has had no endpoint that works and takes requests, or is expected to,
    /// since this time.
    Absent(runtime::Moment),
}

impl Outlook {
    /// Returns the time beyond its own after which a caller is told to return, if it would
    /// return in vain; `None` if it may find a place. Endpoints that have been away for as
    /// long as the caller could wait are not expected within that time either.
    #[must_use]
    pub fn in_vain(self, time_left: Duration, now: runtime::Moment) -> Option<Duration> {
        let Self::Absent(since) = self else {
            return None;
        };
        let away = now.saturating_since(since);
        (away >= time_left.mul_f64(CALLER_WAIT_FRACTION)).then(|| time_left + BEYOND)
    }

    /// Returns the time until the first place; zero where nothing tells it.
    #[must_use]
    pub fn earliest(self) -> Duration {
        match self {
            Self::In(delay) => delay,
            Self::Unknown | Self::Absent(_) => Duration::ZERO,
        }
    }
}

impl fmt::Display for Outlook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name: &str = self.into();
        match self {
            Self::In(delay) => write!(f, "{name}_{}_ms", delay.as_millis()),
            Self::Unknown | Self::Absent(_) => f.write_str(name),
        }
    }
}
