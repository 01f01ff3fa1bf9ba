//! Limit on the unanswered requests of one entry.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

/// Requests of one entry at an endpoint whose answers have not begun, at most. Below 1 it
/// is the share of the time in which the entry may have one.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Limit(f64);

impl Limit {
    /// Creates a limit; a negative or undefined number becomes zero.
    #[must_use]
    pub const fn clamped(requests: f64) -> Self {
        Self(requests.max(0.0))
    }

    /// Returns the number of requests.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Whether another request may be sent beside this many unanswered ones.
    #[must_use]
    pub fn admits(self, waiting: u32) -> bool {
        f64::from(waiting) < self.0.max(1.0)
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

impl FromStr for Limit {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self::clamped)
    }
}
