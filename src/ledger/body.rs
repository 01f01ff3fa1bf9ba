//! Content of records in the `control` stream.

use std::sync::Arc;

use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::lease;
use crate::ledger;

/// Content of a record in the `control` stream.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A change of the driver's lease; accepted only if based on the last accepted
    /// record of the lease.
    Lease {
        /// Process that writes the record.
        holder: lease::Holder,
        /// Last record of the lease that the writer has seen; `None` before the first claim.
        base: Option<ids::Offset>,
        /// Change that the writer requests.
        action: LeaseAction,
    },
    /// A transition of a rollout to its next state.
    Rollout {
        /// Fencing token of the writer; records with a stale one are ignored.
        fence: ids::Fence,
        /// Name of the rollout.
        rollout: Arc<str>,
        /// Transition to apply if the rollout's state allows it.
        to: RolloutTransition,
    },
    /// Allotment of a rollout's permitted answers to entries.
    Allotment {
        /// Fencing token of the writer; records with a stale one are ignored.
        fence: ids::Fence,
        /// Name of the rollout.
        rollout: Arc<str>,
        /// Step of the rollout that the grants are for.
        step: u32,
        /// Limit of the profile on the answers in one step.
        bound: u64,
        /// New totals by entry; a total below the current one has no effect.
        grants: Vec<ledger::Grant>,
    },
    /// Estimates published by the driver.
    Estimates {
        /// Fencing token of the writer; records with a stale one are ignored.
        fence: ids::Fence,
        /// First record of the `evidence` stream that is not included.
        evidence: ids::Offset,
        /// Estimates by version and request class.
        cells: Vec<(ids::VersionName, estimate::RequestClass, estimate::Estimate)>,
        /// Ratings of versions in rollout since the start of their present step.
        steps: Vec<StepEvidence>,
    },
    /// An endpoint crashed while executing requests.
    Crash(fleet::CrashReport),
    /// The complete state of the ledger as of an earlier record.
    Checkpoint(ledger::Checkpoint),
}

/// A requested change of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseAction {
    /// Acquire the lease, from another holder too.
    Claim,
    /// Extend the writer's own lease.
    Renew,
    /// Release the writer's own lease.
    Release,
}

/// A transition of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutTransition {
    /// Create the rollout and start loading the version.
    Start {
        /// Profile whose requests the version is to serve.
        profile: ids::ProfileName,
        /// Version that is rolled out.
        version: ids::VersionName,
    },
    /// Begin the step with this index.
    Step(u32),
    /// Complete the rollout after its last step.
    Complete,
    /// Stop the rollout for this reason; the version gets no more requests of the profile.
    Stop(Arc<str>),
}

/// Ratings since the start of a rollout's present step.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StepEvidence {
    /// Name of the rollout.
    pub rollout: Arc<str>,
    /// Step of the rollout; evidence for any other than the present step is ignored.
    pub step: u32,
    /// Estimate from these ratings, without decay.
    pub ratings: estimate::Estimate,
}
