//! Life cycle of a rollout by time: a small share of the traffic first, then all of it,
//! then completion.

use crate::ids;
use crate::rollout;
use crate::runtime;
use crate::units;

/// Fraction of the duration for which only the probing share goes to the new version. A
/// version may turn bad at any time, and all of its earlier requests count too: the
/// remaining time is so short that its requests stay within the permitted exposure.
const PROBING_FRACTION: f64 = 0.82;
/// Fraction of the duration for which only requests without a session go to the new
/// version: running sessions would change their version, and a change in the first half is
/// a breach.
const SESSIONLESS_FRACTION: f64 = 0.52;
/// Fraction of the duration over which the share then grows to 1.
const RAMP_FRACTION: f64 = 0.06;
/// Fraction of the duration after which the rollout may complete and the old version is
/// abandoned; most streams that began on it have ended by then, and the others are resumed.
/// It is late, as a completed rollout can't be undone, but leaves time to repeat the report.
const COMPLETION_FRACTION: f64 = 0.94;
/// Fraction of the permitted exposure that is used as the probing share. It must reveal a
/// bad version in time, and leave most of the exposure for a version that turns bad late.
const PROBING_EXPOSURE_FRACTION: f64 = 0.4;
/// Share of the traffic at the start of the ramp.
const RAMP_START_SHARE: f64 = 0.25;

/// Progress of a rollout, as entries report it to each other through the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// A small share of the traffic is observed on the new version.
    Probing,
    /// The share of the new version grows.
    Ramping,
    /// All traffic goes to the new version; the old one is still available.
    Full,
    /// The new version has replaced the old one.
    Completed,
    /// The new version was found bad and gets no traffic.
    RolledBack,
}

impl Stage {
    /// Returns whether the stage is final.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// State in which a small share of the traffic is observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Probing;
/// State in which the share grows to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramping {
    since: runtime::Moment,
}
/// Final state: the new version has replaced the old one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completed;
/// Final state: the new version gets no traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolledBack;

/// Rollout of a service's version in the state `S`.
#[derive(Clone, Debug, PartialEq)]
pub struct Canary<S> {
    target: ids::VersionName,
    duration: units::Millis,
    started: runtime::Moment,
    exposure: units::Share,
    state: S,
}

/// Rollout of a service's version in any state, for storage in a table.
#[derive(Clone, Debug, PartialEq)]
pub enum AnyCanary {
    /// A small share of the traffic is observed.
    Probing(Canary<Probing>),
    /// The share grows to 1.
    Ramping(Canary<Ramping>),
    /// The new version has replaced the old one.
    Completed(Canary<Completed>),
    /// The new version gets no traffic.
    RolledBack(Canary<RolledBack>),
}

/// Inputs to the evaluation of a rollout at a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Time of the tick.
    pub now: runtime::Moment,
    /// Judgement of the new version by its answers at all entries.
    pub verdict: rollout::Verdict,
    /// Whether the endpoints of the new version can serve the traffic of the old ones.
    pub enough_endpoints: bool,
    /// Whether the other entries know that all traffic goes to the new version, and have
    /// had time to object.
    pub objection_time_passed: bool,
}

impl<S> Canary<S> {
    fn with_state<T>(self, state: T) -> Canary<T> {
        Canary {
            target: self.target,
            duration: self.duration,
            started: self.started,
            exposure: self.exposure,
            state,
        }
    }

    fn elapsed_fraction(&self, now: runtime::Moment) -> f64 {
        let elapsed = now.saturating_since(self.started).as_secs_f64();
        elapsed
            / self
                .duration
                .duration()
                .as_secs_f64()
                .max(f64::MIN_POSITIVE)
    }

    /// Returns the version that is being rolled out.
    #[must_use]
    pub const fn target(&self) -> &ids::VersionName {
        &self.target
    }
}

impl Canary<Probing> {
    /// Begins a rollout at `now`. `exposure` is the maximum fraction of the requests that a
    /// bad version may get.
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
        self.with_state(Ramping { since: now })
    }

    /// Takes all traffic at once, as the other entries already do.
    fn ramp_to_full(self) -> Canary<Ramping> {
        self.ramp(runtime::Moment::default())
    }
}

impl Canary<Ramping> {
    fn share(&self, now: runtime::Moment) -> f64 {
        let ramp_seconds = self.duration.duration().as_secs_f64() * RAMP_FRACTION;
        let progress = now.saturating_since(self.state.since).as_secs_f64()
            / ramp_seconds.max(f64::MIN_POSITIVE);
        (RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * progress).min(1.0)
    }

    fn may_complete(&self, now: runtime::Moment) -> bool {
        self.share(now) >= 1.0 && self.elapsed_fraction(now) >= COMPLETION_FRACTION
    }
}

impl AnyCanary {
    /// Begins a rollout at `now`; see [`Canary::begin`].
    #[must_use]
    pub fn begin(
        target: ids::VersionName,
        duration: units::Millis,
        exposure: units::Share,
        now: runtime::Moment,
    ) -> Self {
        Self::Probing(Canary::begin(target, duration, exposure, now))
    }

    /// Returns the version that is being rolled out.
    #[must_use]
    pub const fn target(&self) -> &ids::VersionName {
        match self {
            Self::Probing(canary) => canary.target(),
            Self::Ramping(canary) => canary.target(),
            Self::Completed(canary) => canary.target(),
            Self::RolledBack(canary) => canary.target(),
        }
    }

    /// Returns whether the rollout has reached a final state.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        matches!(self, Self::Completed(_) | Self::RolledBack(_))
    }

    /// Returns the fraction of sessions that go to the new version; sessions already on it
    /// stay there.
    #[must_use]
    pub fn session_share(&self, now: runtime::Moment) -> units::Share {
        match self {
            Self::Probing(canary) if canary.elapsed_fraction(now) < SESSIONLESS_FRACTION => {
                units::Share::clamped(0.0)
            }
            _ => self.share(now),
        }
    }

    /// Returns the fraction of requests without a session that go to the new version.
    #[must_use]
    pub fn share(&self, now: runtime::Moment) -> units::Share {
        units::Share::clamped(match self {
            Self::Probing(canary) => canary.exposure.get() * PROBING_EXPOSURE_FRACTION,
            Self::Ramping(canary) => canary.share(now),
            Self::Completed(_) => 1.0,
            Self::RolledBack(_) => 0.0,
        })
    }

    /// Returns the stage of the rollout at `now`.
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

    /// Returns the state after an observation.
    #[must_use]
    pub fn advance(self, obs: Observation) -> Self {
        match self {
            Self::Probing(canary) => match obs.verdict {
                rollout::Verdict::Bad => Self::RolledBack(canary.with_state(RolledBack)),
                rollout::Verdict::Doubtful if canary.elapsed_fraction(obs.now) >= 1.0 => {
                    Self::RolledBack(canary.with_state(RolledBack))
                }
                rollout::Verdict::Sound
                    if obs.enough_endpoints
                        && canary.elapsed_fraction(obs.now) >= PROBING_FRACTION =>
                {
                    Self::Ramping(canary.ramp(obs.now))
                }
                _ => Self::Probing(canary),
            },
            Self::Ramping(canary) => {
                let may_complete = obs.objection_time_passed && canary.may_complete(obs.now);
                match obs.verdict {
                    rollout::Verdict::Bad => Self::RolledBack(canary.with_state(RolledBack)),
                    // A completed rollout can't be undone: the old version is gone.
                    rollout::Verdict::Doubtful if may_complete => {
                        Self::RolledBack(canary.with_state(RolledBack))
                    }
                    rollout::Verdict::Sound if may_complete => {
                        Self::Completed(canary.with_state(Completed))
                    }
                    _ => Self::Ramping(canary),
                }
            }
            other => other,
        }
    }

    /// Returns the state once another entry has reported `stage`: a rollout that is behind
    /// the report catches up, and a reported final stage decides.
    #[must_use]
    pub fn adopt_reported_stage(self, stage: Stage, now: runtime::Moment) -> Self {
        match (stage, self) {
            (Stage::Completed, canary) => Self::Completed(canary.end_with(Completed)),
            (Stage::RolledBack, canary) => Self::RolledBack(canary.end_with(RolledBack)),
            (Stage::Ramping, Self::Probing(canary)) => Self::Ramping(canary.ramp(now)),
            (Stage::Full, Self::Probing(canary)) => Self::Ramping(canary.ramp_to_full()),
            (Stage::Full, Self::Ramping(canary)) => Self::Ramping(canary.with_state(Ramping {
                since: runtime::Moment::default(),
            })),
            (_, canary) => canary,
        }
    }

    fn end_with<S>(self, state: S) -> Canary<S> {
        match self {
            Self::Probing(canary) => canary.with_state(state),
            Self::Ramping(canary) => canary.with_state(state),
            Self::Completed(canary) => canary.with_state(state),
            Self::RolledBack(canary) => canary.with_state(state),
        }
    }
}
