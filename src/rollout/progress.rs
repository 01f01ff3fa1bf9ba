//! Rollout in any state, as the ledger holds it.

use std::sync::Arc;

use crate::catalog;
use crate::ids;
use crate::ledger;
use crate::rollout;

/// Rollout of a version into a profile, in any of its states.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The version is being loaded; see [`rollout::Loading`].
    Loading(rollout::Rollout<rollout::Loading>),
    /// The version gets the share of a step; see [`rollout::Stepping`].
    Stepping(rollout::Rollout<rollout::Stepping>),
    /// The last step has passed; see [`rollout::Complete`].
    Complete(rollout::Rollout<rollout::Complete>),
    /// The version gets no requests; see [`rollout::Stopped`].
    Stopped(rollout::Rollout<rollout::Stopped>),
}

impl Progress {
    /// Creates a rollout whose version is not loaded yet.
    #[must_use]
    pub const fn start(profile: ids::ProfileName, version: ids::VersionName) -> Self {
        Self::Loading(rollout::Rollout::new(profile, version))
    }

    /// Returns the state after a transition; `None` if the current state does not allow it.
    #[must_use]
    pub fn apply(&self, to: &ledger::RolloutTransition) -> Option<Self> {
        match (self.clone(), to) {
            (Self::Loading(row), ledger::RolloutTransition::Step(0)) => {
                Some(Self::Stepping(row.loaded()))
            }
            (Self::Loading(row), ledger::RolloutTransition::Stop(reason)) => {
                Some(Self::Stopped(row.stop(Arc::clone(reason))))
            }
            (Self::Stepping(row), ledger::RolloutTransition::Step(step))
                if *step == row.step() + 1 =>
            {
                Some(Self::Stepping(row.pass()))
            }
            (Self::Stepping(row), ledger::RolloutTransition::Complete) => {
                Some(Self::Complete(row.complete()))
            }
            (Self::Stepping(row), ledger::RolloutTransition::Stop(reason)) => {
                Some(Self::Stopped(row.stop(Arc::clone(reason))))
            }
            _ => None,
        }
    }

    /// Returns the current step, from 0; `None` unless the rollout is stepping.
    #[must_use]
    pub const fn step(&self) -> Option<u32> {
        match self {
            Self::Stepping(row) => Some(row.step()),
            _ => None,
        }
    }

    /// Returns the profile that the version enters.
    #[must_use]
    pub const fn profile(&self) -> &ids::ProfileName {
        match self {
            Self::Loading(row) => &row.profile,
            Self::Stepping(row) => &row.profile,
            Self::Complete(row) => &row.profile,
            Self::Stopped(row) => &row.profile,
        }
    }

    /// Returns whether this is the progress of the plan: the same version enters the same
    /// profile.
    #[must_use]
    pub fn matches_plan(&self, plan: &catalog::RolloutPlan) -> bool {
        *self.profile() == plan.profile && *self.version() == plan.version
    }

    /// Returns the version that enters the profile.
    #[must_use]
    pub const fn version(&self) -> &ids::VersionName {
        match self {
            Self::Loading(row) => &row.version,
            Self::Stepping(row) => &row.version,
            Self::Complete(row) => &row.version,
            Self::Stopped(row) => &row.version,
        }
    }
}
