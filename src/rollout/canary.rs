//! Life cycle of a roll-out by time: a small share of the sessions first, then
//! all, then done.

use crate::ids;
use crate::runtime;
use crate::units;

/// Part of the time in which only the first share goes to the new version. A
/// version may turn bad at any moment, and all that it got before counts too:
/// the rest is so short that its requests stay within the permitted exposure.
const PROBING_PART: f64 = 0.76;
/// Part of the time in which only requests without a session go to the new
/// version: sessions under way would change their version, and a change in the
/// first half is a breach.
const SESSIONLESS_PART: f64 = 0.52;
/// Part of the time over which the share then grows to all.
const RAMP_PART: f64 = 0.06;
/// Part of the time after which the old version is given up; most streams that
/// began on it have ended by then, and the others are resumed.
const DONE_PART: f64 = 0.87;
/// Part of the permitted exposure that the first share uses. It must show a bad
/// version in time, and leave most of the exposure for one that turns bad late.
const PROBING_SHARE_OF_EXPOSURE: f64 = 0.2;
/// Share at the start of the ramp.
const RAMP_START: f64 = 0.25;

/// How far a roll-out is, as entries tell each other through the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// A small share is observed.
    Probing,
    /// The share grows.
    Ramping,
    /// All traffic goes to the new version; the old one is still there.
    Full,
    /// The new version is in.
    Completed,
    /// The new version is out.
    RolledBack,
}

impl Stage {
    /// Whether nothing follows.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// First part: a small share is observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Probing;
/// Second part: the share grows to all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramping {
    since: runtime::Moment,
}
/// The version is in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completed;
/// The version is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolledBack;

/// A roll-out in the state `S`.
#[derive(Clone, Debug, PartialEq)]
pub struct Canary<S> {
    target: ids::VersionName,
    duration: units::Millis,
    started: runtime::Moment,
    exposure: units::Share,
    state: S,
}

/// A roll-out in any state.
#[derive(Clone, Debug, PartialEq)]
pub enum AnyCanary {
    /// A small share is observed.
    Probing(Canary<Probing>),
    /// The share grows to all.
    Ramping(Canary<Ramping>),
    /// The version is in.
    Completed(Canary<Completed>),
    /// The version is out.
    RolledBack(Canary<RolledBack>),
}

/// What a roll-out is judged by at a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The moment.
    pub now: runtime::Moment,
    /// Whether answers show that the version is bad.
    pub bad: bool,
    /// Whether endpoints of the new version can bear the traffic of the old ones.
    pub enough_endpoints: bool,
    /// Whether other entries know that all traffic goes to the new version, and
    /// have had time to object.
    pub unopposed: bool,
}

impl<S> Canary<S> {
    fn with<T>(self, state: T) -> Canary<T> {
        Canary {
            target: self.target,
            duration: self.duration,
            started: self.started,
            exposure: self.exposure,
            state,
        }
    }

    fn part_passed(&self, now: runtime::Moment) -> f64 {
        let passed = now.since(self.started).as_secs_f64();
        passed
            / self
                .duration
                .duration()
                .as_secs_f64()
                .max(f64::MIN_POSITIVE)
    }

    /// The version that is brought in.
    #[must_use]
    pub const fn target(&self) -> &ids::VersionName {
        &self.target
    }
}

impl Canary<Probing> {
    /// A roll-out that begins now. `exposure` is the largest part of the
    /// requests that a bad version may get.
    #[must_use]
    pub const fn begin(
        target: ids::VersionName,
        duration: units::Millis,
        exposure: units::Share,
        now: runtime::Moment,
    ) -> Self {
        Self {
            target,
            duration,
            started: now,
            exposure,
            state: Probing,
        }
    }

    fn ramp(self, now: runtime::Moment) -> Canary<Ramping> {
        self.with(Ramping { since: now })
    }

    /// Takes all traffic at once, as the other entries already do.
    fn ramp_fully(self) -> Canary<Ramping> {
        self.ramp(runtime::Moment::default())
    }
}

impl Canary<Ramping> {
    fn share(&self, now: runtime::Moment) -> f64 {
        let length = self.duration.duration().as_secs_f64() * RAMP_PART;
        let passed = now.since(self.state.since).as_secs_f64() / length.max(f64::MIN_POSITIVE);
        (RAMP_START + (1.0 - RAMP_START) * passed).min(1.0)
    }

    fn may_complete(&self, now: runtime::Moment) -> bool {
        self.share(now) >= 1.0 && self.part_passed(now) >= DONE_PART
    }
}

impl AnyCanary {
    /// Begins a roll-out.
    #[must_use]
    pub fn begin(
        target: ids::VersionName,
        duration: units::Millis,
        exposure: units::Share,
        now: runtime::Moment,
    ) -> Self {
        Self::Probing(Canary::begin(target, duration, exposure, now))
    }

    /// The version that is brought in.
    #[must_use]
    pub const fn target(&self) -> &ids::VersionName {
        match self {
            Self::Probing(canary) => canary.target(),
            Self::Ramping(canary) => canary.target(),
            Self::Completed(canary) => canary.target(),
            Self::RolledBack(canary) => canary.target(),
        }
    }

    /// Whether nothing can change any more.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        matches!(self, Self::Completed(_) | Self::RolledBack(_))
    }

    /// Part of the sessions that go to the new version; those in it stay there.
    #[must_use]
    pub fn session_share(&self, now: runtime::Moment) -> units::Share {
        match self {
            Self::Probing(canary) if canary.part_passed(now) < SESSIONLESS_PART => {
                units::Share::clamped(0.0)
            }
            _ => self.share(now),
        }
    }

    /// Part of the requests without a session that go to the new version.
    #[must_use]
    pub fn share(&self, now: runtime::Moment) -> units::Share {
        units::Share::clamped(match self {
            Self::Probing(canary) => canary.exposure.get() * PROBING_SHARE_OF_EXPOSURE,
            Self::Ramping(canary) => canary.share(now),
            Self::Completed(_) => 1.0,
            Self::RolledBack(_) => 0.0,
        })
    }

    /// How far the roll-out is.
    #[must_use]
    pub fn stage(&self, now: runtime::Moment) -> Stage {
        match self {
            Self::Probing(_) => Stage::Probing,
            Self::Ramping(canary) if canary.share(now) < 1.0 => Stage::Ramping,
            Self::Ramping(_) => Stage::Full,
            Self::Completed(_) => Stage::Completed,
            Self::RolledBack(_) => Stage::RolledBack,
        }
    }

    /// The state after an observation.
    #[must_use]
    pub fn advance(self, seen: Observation) -> Self {
        match self {
            Self::Probing(canary) if seen.bad => Self::RolledBack(canary.with(RolledBack)),
            Self::Ramping(canary) if seen.bad => Self::RolledBack(canary.with(RolledBack)),
            Self::Probing(canary)
                if seen.enough_endpoints && canary.part_passed(seen.now) >= PROBING_PART =>
            {
                Self::Ramping(canary.ramp(seen.now))
            }
            Self::Ramping(canary) if seen.unopposed && canary.may_complete(seen.now) => {
                Self::Completed(canary.with(Completed))
            }
            other => other,
        }
    }

    /// The state once another entry has reported `stage`: what is on record is
    /// never behind, and the end on record decides.
    #[must_use]
    pub fn settle(self, stage: Stage, now: runtime::Moment) -> Self {
        match (stage, self) {
            (Stage::Completed, canary) => Self::Completed(canary.end(Completed)),
            (Stage::RolledBack, canary) => Self::RolledBack(canary.end(RolledBack)),
            (Stage::Ramping, Self::Probing(canary)) => Self::Ramping(canary.ramp(now)),
            (Stage::Full, Self::Probing(canary)) => Self::Ramping(canary.ramp_fully()),
            (Stage::Full, Self::Ramping(canary)) => Self::Ramping(canary.with(Ramping {
                since: runtime::Moment::default(),
            })),
            (_, canary) => canary,
        }
    }

    fn end<S>(self, state: S) -> Canary<S> {
        match self {
            Self::Probing(canary) => canary.with(state),
            Self::Ramping(canary) => canary.with(state),
            Self::Completed(canary) => canary.with(state),
            Self::RolledBack(canary) => canary.with(state),
        }
    }
}
