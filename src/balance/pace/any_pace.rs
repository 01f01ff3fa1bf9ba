//! Pace of an endpoint in any state, and the events that move it.

use std::time::Duration;

use crate::balance::pace;
use crate::balance::pace::life_cycle::Step;
use crate::runtime;

/// Pace of an endpoint in any state; at its full load by default.
#[derive(Clone, Copy, Debug, PartialEq, strum::EnumDiscriminants)]
#[strum_discriminants(name(Stage))]
#[strum_discriminants(doc = "Name of a state, for logs and metrics.")]
#[strum_discriminants(derive(strum::Display, strum::IntoStaticStr))]
#[strum_discriminants(strum(serialize_all = "snake_case"))]
pub enum AnyPace {
    /// Requests are sent without limit.
    Full(pace::Pace<pace::Full>),
    /// No request is sent before a time.
    Closed(pace::Pace<pace::Closed>),
    /// One request tries the endpoint.
    Probing(pace::Pace<pace::Probing>),
    /// The limit rises with the answers.
    Rising(pace::Pace<pace::Rising>),
    /// No request is sent.
    Leaving(pace::Pace<pace::Leaving>),
}

impl Default for AnyPace {
    fn default() -> Self {
        Self::Full(pace::Pace::new())
    }
}

impl AnyPace {
    /// Returns the limit; `None` in a state without one.
    #[must_use]
    pub const fn limit(&self) -> Option<pace::Limit> {
        match self {
            Self::Rising(rising) => Some(rising.limit()),
            _ => None,
        }
    }

    /// Returns the wait that is expected of the endpoint while its limit rises.
    #[must_use]
    pub const fn usual(&self) -> Option<Duration> {
        match self {
            Self::Rising(rising) => rising.usual(),
            _ => None,
        }
    }

    /// Returns the wait to expect of the endpoint, where its last answers took `wait`. A slow
    /// one counts as usual at times, since only requests tell whether it still is slow.
    #[must_use]
    pub fn wait(
        &self,
        wait: Duration,
        observed: &pace::Observed,
        now: runtime::Moment,
    ) -> Duration {
        match self {
            Self::Rising(rising) if observed.waiting == 0 && rising.is_trial_due(wait, now) => {
                rising.usual().map_or(wait, |usual| wait.min(usual))
            }
            _ => wait,
        }
    }

    /// Whether the limit does not rise because the last answers were late.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        match self {
            Self::Rising(rising) => rising.is_held(),
            _ => false,
        }
    }

    /// Returns the state at `now`, after a pause or suspension that is over by then.
    #[must_use]
    pub fn advance(
        self,
        bounds: &pace::Bounds,
        observed: &pace::Observed,
        now: runtime::Moment,
    ) -> Self {
        match self {
            Self::Closed(closed) if !closed.is_due(now) => self,
            Self::Closed(closed) if closed.is_asked() => {
                Self::Rising(closed.reopen(bounds, observed))
            }
            Self::Closed(closed) => Self::Probing(closed.probe()),
            _ => self,
        }
    }

    /// Checks whether the endpoint takes another request; see [`Self::advance`].
    #[must_use]
    pub fn admission(&self, observed: &pace::Observed, now: runtime::Moment) -> pace::Admission {
        use pace::{Admission, Hold};
        match self {
            Self::Leaving(_) => Admission::Closed(Hold::Leaving),
            Self::Closed(closed) if closed.is_asked() => {
                Admission::Closed(Hold::Paused(closed.until()))
            }
            Self::Closed(closed) => Admission::LastResort(Hold::Failed(closed.until())),
            Self::Probing(probing) => match probing.probed_until(now) {
                Some(until) => Admission::LastResort(Hold::Probed(until)),
                None => Admission::Open,
            },
            Self::Rising(rising) => match rising.next(observed.waiting, now) {
                Some(next) if rising.is_asked() => Admission::Closed(Hold::Rising(next)),
                Some(next) => Admission::LastResort(Hold::Rising(next)),
                None if observed.is_silent => Admission::LastResort(Hold::Silent),
                None => Admission::Open,
            },
            Self::Full(_) if observed.is_silent => Admission::LastResort(Hold::Silent),
            Self::Full(_) => Admission::Open,
        }
    }

    /// Returns the state after a request was sent.
    #[must_use]
    pub const fn send(self, now: runtime::Moment) -> Self {
        match self {
            Self::Probing(probing) => Self::Probing(probing.send(now)),
            Self::Rising(rising) => Self::Rising(rising.send(now)),
            _ => self,
        }
    }

    /// Returns the state after the caller of a request sent at a time has left before its
    /// answer began.
    #[must_use]
    pub fn give_up(self, sent: runtime::Moment) -> Self {
        match self {
            Self::Probing(probing) => Self::Probing(probing.give_up(sent)),
            _ => self,
        }
    }

    /// Returns the state after the endpoint has started, returned or become cold. A pause
    /// and a suspension last.
    #[must_use]
    pub fn start(self, bounds: &pace::Bounds, observed: &pace::Observed) -> Self {
        match self {
            Self::Full(full) => Self::Rising(full.rise(bounds, observed)),
            _ => self,
        }
    }

    /// Returns the state after the endpoint has asked for a pause until a time.
    #[must_use]
    pub fn pause(self, until: runtime::Moment) -> Self {
        match self {
            Self::Full(full) => Self::Closed(full.close(until, true)),
            Self::Probing(probing) => Self::Closed(probing.close(until, true)),
            Self::Rising(rising) => Self::Closed(rising.close(until, true)),
            Self::Closed(closed) => Self::Closed(closed.prolong(until)),
            Self::Leaving(_) => self,
        }
    }

    /// Returns the state after the endpoint has said that it leaves, in an answer or in its
    /// record. Only another incarnation is open again.
    #[must_use]
    pub const fn leave(self) -> Self {
        match self {
            Self::Full(full) => Self::Leaving(full.leave()),
            Self::Probing(probing) => Self::Leaving(probing.leave()),
            Self::Rising(rising) => Self::Leaving(rising.leave()),
            Self::Closed(closed) => Self::Leaving(closed.leave()),
            Self::Leaving(_) => self,
        }
    }

    /// Returns the state after an answer has begun, and whether it was late.
    #[must_use]
    pub fn answer(
        self,
        answer: &pace::Answer,
        bounds: &pace::Bounds,
        observed: &pace::Observed,
    ) -> (Self, pace::Cause) {
        let in_time = pace::Cause::InTime;
        match self {
            Self::Probing(probing) => (Self::Rising(probing.answer(bounds, observed)), in_time),
            Self::Rising(rising) => match rising.answer(answer, bounds) {
                Step::Up(rising) => (Self::Rising(rising), in_time),
                Step::Hold(rising) => (Self::Rising(rising), pace::Cause::Slowed),
                Step::Full(full) => (Self::Full(full), in_time),
            },
            Self::Full(_) | Self::Closed(_) | Self::Leaving(_) => (self, in_time),
        }
    }

    /// Returns the state after a failed attempt. A suspension lasts until `until`; failures
    /// within it were sent before, and do not prolong it.
    #[must_use]
    pub fn fail(
        self,
        trouble: pace::Trouble,
        until: runtime::Moment,
        bounds: &pace::Bounds,
        observed: &pace::Observed,
        now: runtime::Moment,
    ) -> Self {
        let is_down = trouble == pace::Trouble::Down;
        match self {
            Self::Full(full) if is_down => Self::Closed(full.close(until, false)),
            Self::Probing(probing) if trouble == pace::Trouble::Refused => {
                Self::Rising(probing.refuse(bounds, observed, now))
            }
            Self::Probing(probing) => Self::Closed(probing.close(until, false)),
            Self::Rising(rising) if is_down => Self::Closed(rising.close(until, false)),
            Self::Rising(rising) => rising.fall(bounds, now).map_or(self, Self::Rising),
            Self::Full(_) | Self::Closed(_) | Self::Leaving(_) => self,
        }
    }
}
