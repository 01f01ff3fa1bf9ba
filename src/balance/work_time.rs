//! How long work takes at an endpoint at a moment, as the endpoint states it.

use std::fmt;
use std::str::FromStr;

/// Usual work time in percent.
const USUAL: f64 = 100.0;
/// Limits in percent; a statement beyond them is taken as the nearer one.
const RANGE: (f64, f64) = (10.0, 2_000.0);

/// Time that work takes, in percent of the usual; 250 is two and a half times as long.
/// Default: 100.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct WorkTime(f64);

impl WorkTime {
    /// Returns the time as a multiple of the usual, from 0.1 to 20.
    #[must_use]
    pub const fn factor(self) -> f64 {
        self.0 / USUAL
    }
}

impl Default for WorkTime {
    fn default() -> Self {
        Self(USUAL)
    }
}

impl fmt::Display for WorkTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Error returned for a text that is no positive number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidWorkTime;

impl fmt::Display for InvalidWorkTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected a positive number of percent")
    }
}

impl std::error::Error for InvalidWorkTime {}

impl FromStr for WorkTime {
    type Err = InvalidWorkTime;

    fn from_str(text: &str) -> Result<Self, InvalidWorkTime> {
        let percent: f64 = text.trim().parse().map_err(|_| InvalidWorkTime)?;
        if percent.is_finite() && percent > 0.0 {
            Ok(Self(percent.clamp(RANGE.0, RANGE.1)))
        } else {
            Err(InvalidWorkTime)
        }
    }
}
