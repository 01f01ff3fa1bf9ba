//! Life cycle of a rollout by steps.

use std::sync::Arc;

use crate::ids;

/// State in which the version is being loaded and gets no requests yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Loading;

/// State in which the version gets the share of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Stepping {
    step: u32,
}

/// State after the last step has passed; the version serves the profile like the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Complete;

/// State in which the version gets no requests of the profile.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Stopped {
    reason: Arc<str>,
}

/// Rollout of a version into a profile; `S` is its state.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Rollout<S> {
    /// Profile that the version enters.
    pub profile: ids::ProfileName,
    /// Version that enters the profile.
    pub version: ids::VersionName,
    state: S,
}

impl<S> Rollout<S> {
    fn with_state<T>(self, state: T) -> Rollout<T> {
        Rollout {
            profile: self.profile,
            version: self.version,
            state,
        }
    }
}

impl Rollout<Loading> {
    /// Creates a rollout whose version is not loaded yet.
    #[must_use]
    pub const fn new(profile: ids::ProfileName, version: ids::VersionName) -> Self {
        Self {
            profile,
            version,
            state: Loading,
        }
    }

    /// Begins the first step, once the version is loaded.
    #[must_use]
    pub fn loaded(self) -> Rollout<Stepping> {
        self.with_state(Stepping { step: 0 })
    }

    /// Stops the rollout before its first step.
    #[must_use]
    pub fn stop(self, reason: Arc<str>) -> Rollout<Stopped> {
        self.with_state(Stopped { reason })
    }
}

impl Rollout<Stepping> {
    /// Returns the current step, from 0.
    #[must_use]
    pub const fn step(&self) -> u32 {
        self.state.step
    }

    /// Begins the next step, once the current one has passed.
    #[must_use]
    pub fn pass(self) -> Self {
        let step = self.state.step + 1;
        self.with_state(Stepping { step })
    }

    /// Completes the rollout, once the last step has passed.
    #[must_use]
    pub fn complete(self) -> Rollout<Complete> {
        self.with_state(Complete)
    }

    /// Stops the rollout during a step.
    #[must_use]
    pub fn stop(self, reason: Arc<str>) -> Rollout<Stopped> {
        self.with_state(Stopped { reason })
    }
}

impl Rollout<Stopped> {
    /// Returns why the rollout was stopped.
    #[must_use]
    pub fn reason(&self) -> &str {
        &self.state.reason
    }
}
