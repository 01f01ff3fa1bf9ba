//! Newtypes for sequence numbers: offsets, fencing numbers, incarnations,
//! revisions and generations.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

/// Error returned when a text is not a number in the range of its type.
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
            /// Returns the next number; saturates at the maximum.
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
    /// Position of a record in one stream of the platform's log, from 0.
    Offset(u64)
}
number! {
    /// Number of a lease among those that the store divides among the entries, from 0.
    LeaseNumber(u32)
}
number! {
    /// Rises each time that the store comes back from an older copy. What was written in the
    /// time that the copy lacks is gone, and its offsets are given out again.
    StoreEra(u64)
}
number! {
    /// Fencing number of a lease: the log offset of its accepted claim.
    Fence(u64)
}
number! {
    /// Identifies one incarnation of a process; a restarted process has a greater number.
    Incarnation(u64)
}

impl StoreEra {
    /// Era of a store that has never come back from a copy. One that does not count its eras
    /// stays at 0.
    pub const FIRST: Self = Self(1);
}

impl Incarnation {
    /// Returns the incarnation of a process that starts at this age of the Unix epoch, which
    /// increases over restarts of a VM without any stored state.
    #[must_use]
    pub fn at_start(since_epoch: Duration) -> Self {
        Self(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
    }
}

number! {
    /// Revision of a configuration object; 0 means that the object does not exist.
    Revision(u64)
}
number! {
    /// Generation of the division of leases among entries; 0 before the first division.
    DivisionGeneration(u64)
}
number! {
    /// Generation of a claim on a non-idempotent call; each further claim has the next one.
    Generation(u32)
}
