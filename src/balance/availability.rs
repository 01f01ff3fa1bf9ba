//! Life cycle of an endpoint by what it says of itself: whether it wants requests.
//!
//! Load pattern: endpoints that leave while callers' connections to them are in use, and
//! overloaded ones that turn requests away and ask for a pause, under a burst, one after
//! the other or all of a service at once.

use std::time::Duration;

use crate::runtime;

/// Time after a pause over which an endpoint gets its full load back.
const RETURN_PERIOD: Duration = Duration::from_secs(2);
/// Longest pause that is granted; a longer one is a mistake of the endpoint.
pub const MAX_PAUSE: Duration = Duration::from_secs(30);

/// What an endpoint says of itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// It leaves and wants no further request.
    Leave,
    /// It wants no request for so long.
    Pause(Duration),
}

/// State in which requests are sent without limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Open;
/// State in which no request is sent before a time, and few right after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Paused {
    until: runtime::Moment,
}
/// Final state of an incarnation: no request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving;

/// An endpoint in the state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Availability<S> {
    state: S,
}

impl Availability<Open> {
    const fn new() -> Self {
        Self { state: Open }
    }
}

impl From<Availability<Open>> for Availability<Leaving> {
    fn from(_: Availability<Open>) -> Self {
        Self { state: Leaving }
    }
}

impl From<Availability<Paused>> for Availability<Leaving> {
    fn from(_: Availability<Paused>) -> Self {
        Self { state: Leaving }
    }
}

impl Availability<Paused> {
    const fn begin(_: Availability<Open>, until: runtime::Moment) -> Self {
        Self {
            state: Paused { until },
        }
    }

    /// A further request for a pause prolongs the pause; it never shortens it.
    fn prolong(self, until: runtime::Moment) -> Self {
        Self {
            state: Paused {
                until: self.state.until.max(until),
            },
        }
    }

    /// Requests that may be in flight at `now`, as a fraction of the endpoint's slots;
    /// `None` during the pause. Above 1 after the return.
    fn returned_fraction(self, now: runtime::Moment) -> Option<f64> {
        let since = now.saturating_since(self.state.until);
        (now >= self.state.until).then(|| since.as_secs_f64() / RETURN_PERIOD.as_secs_f64())
    }
}

/// An endpoint in any state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnyAvailability {
    /// Requests are sent without limit.
    Open(Availability<Open>),
    /// No request is sent before a time, and few right after it.
    Paused(Availability<Paused>),
    /// No request is sent.
    Leaving(Availability<Leaving>),
}

impl Default for AnyAvailability {
    fn default() -> Self {
        Self::Open(Availability::new())
    }
}

/// Why an endpoint takes no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Closed {
    /// It has asked for a pause until this time.
    Paused(runtime::Moment),
    /// It is back from a pause and has as many requests as it may have so soon.
    Returning,
    /// It leaves.
    Leaving,
}

impl AnyAvailability {
    /// Returns the state after the endpoint has asked for a pause until a time.
    #[must_use]
    pub fn pause(self, until: runtime::Moment) -> Self {
        match self {
            Self::Open(open) => Self::Paused(Availability::begin(open, until)),
            Self::Paused(paused) => Self::Paused(paused.prolong(until)),
            Self::Leaving(_) => self,
        }
    }

    /// Returns the state after the endpoint has said that it leaves, in an answer or in its
    /// record. Only another incarnation is open again.
    #[must_use]
    pub fn leave(self) -> Self {
        match self {
            Self::Open(open) => Self::Leaving(open.into()),
            Self::Paused(paused) => Self::Leaving(paused.into()),
            Self::Leaving(_) => self,
        }
    }

    /// Checks whether a request may be sent at `now`, with `in_flight` requests of this
    /// entry at the endpoint. The error is the reason against it.
    pub fn check(self, now: runtime::Moment, in_flight: u32, slots: u32) -> Result<(), Closed> {
        let paused = match self {
            Self::Open(_) => return Ok(()),
            Self::Leaving(_) => return Err(Closed::Leaving),
            Self::Paused(paused) => paused,
        };
        let Some(fraction) = paused.returned_fraction(now) else {
            return Err(Closed::Paused(paused.state.until));
        };
        let limit = f64::from(slots) * fraction;
        if fraction >= 1.0 || in_flight == 0 || f64::from(in_flight) < limit {
            Ok(())
        } else {
            Err(Closed::Returning)
        }
    }
}
