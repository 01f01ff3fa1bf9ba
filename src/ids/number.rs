//! Numbers that order things.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// A text that is not a number of the wanted kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidNumber(ParseIntError);

impl fmt::Display for InvalidNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid number: {}", self.0)
    }
}

impl std::error::Error for InvalidNumber {}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The number that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = InvalidNumber;

            fn from_str(text: &str) -> Result<Self, InvalidNumber> {
                text.parse().map(Self).map_err(InvalidNumber)
            }
        }
    };
}

number! {
    /// Position of a record in one stream of the platform's log.
    Offset(u64)
}
number! {
    /// Fencing number of a lease: the offset of its accepted claim.
    Fence(u64)
}
number! {
    /// One run of a process. A restarted process has a greater number.
    Incarnation(u64)
}
number! {
    /// Revision of a configuration object; 0 means that it does not exist.
    Revision(u64)
}
number! {
    /// Generation of a claim on a non-idempotent call.
    Generation(u32)
}
