//! Inputs of a pace.

use std::time::Duration;

use crate::balance::pace;
use crate::units;

/// Fraction of an endpoint's slots that all entries together begin with.
const START_FRACTION: f64 = 0.125;
/// Answers in time that an entry needs at least before it ends a limit, even where its
/// share of the endpoint is smaller.
const MIN_ANSWERS: f64 = 4.0;

/// What an endpoint can carry, and the part of it that is this entry's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// Share of this entry in the limits that apply to all entries together.
    pub share: units::Share,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            slots: 1,
            share: units::Share::clamped(1.0),
        }
    }
}

impl Bounds {
    /// Limit with which an endpoint that has just returned begins.
    pub(super) fn start(&self) -> pace::Limit {
        self.part(self.slots() * START_FRACTION)
    }

    /// Limit that no trouble lowers further.
    pub(super) fn floor(&self) -> pace::Limit {
        self.part(1.0)
    }

    /// Limit at which the endpoint is at its full load.
    pub(super) fn full(&self) -> pace::Limit {
        let limit = self.part(self.slots()).get();
        pace::Limit::clamped(limit.max(MIN_ANSWERS))
    }

    /// This entry's part of a number of requests of all entries, at least one.
    pub(super) fn part(&self, requests: f64) -> pace::Limit {
        pace::Limit::clamped(requests.max(1.0) * self.share.get())
    }

    pub(super) fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }
}

/// What this entry observes at the endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// Requests of this entry whose answers have not begun.
    pub waiting: u32,
    /// Whether the endpoint has been silent towards them for too long.
    pub is_silent: bool,
    /// Usual wait before it reads a prompt; `None` if it is not known.
    pub usual: Option<Duration>,
}
