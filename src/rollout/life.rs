//! Life cycle of a roll-out.

use std::sync::Arc;

use crate::ids;

/// The version is being loaded; it gets no requests yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Loading;

/// The version gets the share of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Stepping {
    step: u32,
}

/// The last step has passed; the version serves the profile like the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Complete;

/// The version gets no requests of the profile.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Stopped {
    reason: Arc<str>,
}

/// A version that enters a profile; `S` is its state.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Rollout<S> {
    /// The profile.
    pub profile: ids::ProfileName,
    /// The entering version.
    pub version: ids::VersionName,
    state: S,
}

impl<S> Rollout<S> {
    fn with<T>(self, state: T) -> Rollout<T> {
        Rollout {
            profile: self.profile,
            version: self.version,
            state,
        }
    }
}

impl Rollout<Loading> {
    /// A roll-out at its start.
    #[must_use]
    pub const fn new(profile: ids::ProfileName, version: ids::VersionName) -> Self {
        Self {
            profile,
            version,
            state: Loading,
        }
    }

    /// The version is loaded: the first step begins.
    #[must_use]
    pub fn loaded(self) -> Rollout<Stepping> {
        self.with(Stepping { step: 0 })
    }

    /// Ends the roll-out before its first step.
    #[must_use]
    pub fn stop(self, reason: Arc<str>) -> Rollout<Stopped> {
        self.with(Stopped { reason })
    }
}

impl Rollout<Stepping> {
    /// The present step, from 0.
    #[must_use]
    pub const fn step(&self) -> u32 {
        self.state.step
    }

    /// The present step has passed: the next begins.
    #[must_use]
    pub fn pass(self) -> Self {
        let step = self.state.step + 1;
        self.with(Stepping { step })
    }

    /// The last step has passed.
    #[must_use]
    pub fn complete(self) -> Rollout<Complete> {
        self.with(Complete)
    }

    /// Ends the roll-out.
    #[must_use]
    pub fn stop(self, reason: Arc<str>) -> Rollout<Stopped> {
        self.with(Stopped { reason })
    }
}

impl Rollout<Stopped> {
    /// Why the roll-out was stopped.
    #[must_use]
    pub fn reason(&self) -> &str {
        &self.state.reason
    }
}
