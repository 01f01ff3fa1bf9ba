//! Newtypes for whole numbers of a unit.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

/// Error returned when a text is not a whole number, with or without its unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidCount(ParseIntError);

impl fmt::Display for InvalidCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid quantity: {}", self.0)
    }
}

impl std::error::Error for InvalidCount {}

macro_rules! count {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Adds two quantities; saturates at the maximum.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts `other`; returns 0 if `other` is greater.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{} ", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidCount;

            /// Parses the number with or without its unit.
            fn from_str(text: &str) -> Result<Self, InvalidCount> {
                let digits = text.trim().trim_end_matches($unit).trim_end();
                digits.parse().map(Self).map_err(InvalidCount)
            }
        }
    };
}

count! {
    /// Number of tokens that an engine read or generated.
    Tokens, "tokens"
}
count! {
    /// Cost in millionths of the operator's currency unit.
    MicroCost, "uc"
}
count! {
    /// Duration in whole milliseconds, for settings and messages.
    Millis, "ms"
}
count! {
    /// Size in bytes, for limits and buffers.
    Bytes, "B"
}

impl Millis {
    /// Converts to the standard library's duration.
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Rounds `millis` to the nearest whole number of milliseconds; 0 if it is
    /// negative, not a number, or too large.
    #[must_use]
    pub fn from_millis_rounded(millis: f64) -> Self {
        Self::from_seconds(millis / 1_000.0)
    }

    /// Converts `seconds` to the nearest whole number of milliseconds; 0 if it
    /// is negative, not a number, or too large.
    #[must_use]
    pub fn from_seconds(seconds: f64) -> Self {
        Duration::try_from_secs_f64(seconds)
            .map(|duration| duration + Duration::from_micros(500))
            .map_or(Self(0), Self::from)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Bytes {
    /// Converts to the platform's size type; saturates at its maximum.
    #[must_use]
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}
