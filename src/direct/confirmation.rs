//! Proof that what was read from the store was current.

use std::fmt;
use std::time::Duration;

use crate::ids;
use crate::runtime;

/// A call that has proven what is known to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Start of the call: nothing that was written before was lacking.
    pub as_of: runtime::Moment,
    /// Position up to which the topic had been read; `None` for leases, which have none.
    pub end: Option<ids::Position>,
}

impl Confirmation {
    /// Returns the later one; `None` stands for none so far.
    #[must_use]
    pub fn or_later(self, last: Option<Self>) -> Self {
        last.filter(|last| last.as_of >= self.as_of).unwrap_or(self)
    }

    /// Time from the start of the call to `now`.
    #[must_use]
    pub fn age(&self, now: runtime::Moment) -> Duration {
        now.saturating_since(self.as_of)
    }
}

/// What a read of a topic proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Proof {
    /// Nothing is lacking as of this time.
    Whole(runtime::Moment),
    /// Nothing, as it ended before the end of the topic.
    EndedEarly,
    /// Nothing, as the store has come back from a copy and may lack records that are written
    /// again.
    Rewriting,
    /// Nothing, as the last listing has not reached the last key.
    Partial,
}

impl Proof {
    /// Time as of which nothing is lacking; `None` if that is not proven.
    #[must_use]
    pub const fn confirmed(self) -> Option<runtime::Moment> {
        match self {
            Self::Whole(as_of) => Some(as_of),
            Self::EndedEarly | Self::Rewriting | Self::Partial => None,
        }
    }
}

impl fmt::Display for Proof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.into())
    }
}
