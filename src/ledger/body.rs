//! Contents of records of the `control` stream.

use std::sync::Arc;

use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::lease;
use crate::ledger;

/// What a record of the `control` stream says.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A step of the lease; accepted only on the last accepted record of the lease.
    Lease {
        /// The writer.
        holder: lease::Holder,
        /// The last record of the lease that the writer has seen.
        base: Option<ids::Offset>,
        /// What the writer does.
        action: LeaseAction,
    },
    /// A move of a roll-out.
    Rollout {
        /// Fencing number of the writer.
        fence: ids::Fence,
        /// Name of the roll-out.
        rollout: Arc<str>,
        /// The move.
        to: Move,
    },
    /// Grants of a roll-out's answers to entries.
    Allotment {
        /// Fencing number of the writer.
        fence: ids::Fence,
        /// Name of the roll-out.
        rollout: Arc<str>,
        /// The step for which the grants are.
        step: u32,
        /// The profile's bound on the answers of one step.
        bound: u64,
        /// New totals; a total below the present one has no effect.
        grants: Vec<ledger::Grant>,
    },
    /// Published estimates.
    Estimates {
        /// Fencing number of the writer.
        fence: ids::Fence,
        /// The first record of `evidence` that is not included.
        evidence: ids::Offset,
        /// The estimates.
        cells: Vec<(ids::VersionName, estimate::RequestClass, estimate::Estimate)>,
        /// Ratings of versions in roll-out since their present step began.
        steps: Vec<StepEvidence>,
    },
    /// An endpoint died while it ran requests.
    Crash(fleet::CrashReport),
    /// The whole state of the ledger.
    Checkpoint(ledger::Checkpoint),
}

/// A step of a lease's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseAction {
    /// Take the lease.
    Claim,
    /// Keep it.
    Renew,
    /// Give it up.
    Release,
}

/// A move of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Move {
    /// Begin to load the version.
    Start {
        /// The profile that the version enters.
        profile: ids::ProfileName,
        /// The version.
        version: ids::VersionName,
    },
    /// Begin this step.
    Step(u32),
    /// The last step has passed.
    Complete,
    /// The version gets no more requests of the profile.
    Stop(Arc<str>),
}

/// Ratings since the present step of a roll-out began.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StepEvidence {
    /// Name of the roll-out.
    pub rollout: Arc<str>,
    /// The step; evidence of an earlier step is dropped.
    pub step: u32,
    /// The ratings, without decay.
    pub ratings: estimate::Estimate,
}
