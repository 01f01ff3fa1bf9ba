//! Newtypes for real numbers with a range.

use std::fmt;
use std::str::FromStr;

/// Error returned for a text that is no number or a number outside the range of its type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidFraction {
    expected: &'static str,
}

impl fmt::Display for InvalidFraction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected a number {}", self.expected)
    }
}

impl std::error::Error for InvalidFraction {}

macro_rules! fraction {
    ($(#[$doc:meta])* $name:ident, $range:expr, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "f64", into = "f64")]
        pub struct $name(f64);

        impl $name {
            /// Clamps `value` to the range of the type; NaN becomes the lower bound.
            #[must_use]
            pub fn clamped(value: f64) -> Self {
                let (low, high) = $range;
                Self(if value.is_nan() { low } else { value.clamp(low, high) })
            }

            /// Returns the value as a plain number.
            #[must_use]
            pub const fn get(self) -> f64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl TryFrom<f64> for $name {
            type Error = InvalidFraction;

            fn try_from(value: f64) -> Result<Self, InvalidFraction> {
                let (low, high): (f64, f64) = $range;
                if (low..=high).contains(&value) {
                    Ok(Self(value))
                } else {
                    Err(InvalidFraction { expected: $expected })
                }
            }
        }

        impl From<$name> for f64 {
            fn from(value: $name) -> Self {
                value.0
            }
        }

        impl FromStr for $name {
            type Err = InvalidFraction;

            fn from_str(text: &str) -> Result<Self, InvalidFraction> {
                let value: f64 = text.trim().parse().map_err(|_| InvalidFraction { expected: $expected })?;
                Self::try_from(value)
            }
        }
    };
}

fraction! {
    /// Quality of an answer, from 0 (useless) to 1 (perfect).
    Quality, (0.0, 1.0), "from 0 to 1"
}
fraction! {
    /// Fraction of a total, from 0 to 1.
    Share, (0.0, 1.0), "from 0 to 1"
}
fraction! {
    /// Rate in events per second, at least 0.
    Rate, (0.0, f64::MAX), "of at least 0"
}
