//! State built from the records of the `control` stream.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::lease;
use crate::ledger;
use crate::rollout;

/// State of the ledger, as stored in its checkpoints.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct State {
    /// Lease of the driver; `None` before its first claim.
    pub lease: Option<LeaseRow>,
    /// Rollouts by name, including those that have ended.
    pub rollouts: BTreeMap<Arc<str>, RolloutRow>,
    /// Estimates that were published last.
    pub published: Published,
    /// Most recent crashes, oldest first; limited in number.
    pub crashes: VecDeque<fleet::CrashReport>,
}

/// Lease of the driver, claimed at least once.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRow {
    /// Offset of the last accepted record of the lease.
    pub last: ids::Offset,
    /// Id of that last accepted record.
    pub id: ids::ChangeId,
    /// Fencing token: the offset of the last accepted claim.
    pub fence: ids::Fence,
    /// Process that made that claim; `None` once released.
    pub holder: Option<lease::Holder>,
}

/// A rollout with its grants and ratings.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RolloutRow {
    /// State of the rollout's life cycle.
    pub progress: rollout::Progress,
    /// Grants since its start, including those of entries that no longer exist.
    pub grants: Vec<ledger::Grant>,
    /// Sum of all grants at the start of the present step.
    pub granted_before: u64,
    /// Estimate from the ratings since the start of the present step.
    pub ratings: estimate::Estimate,
}

impl RolloutRow {
    /// Number of answers granted since the start of the rollout.
    #[must_use]
    pub fn granted(&self) -> u64 {
        self.grants.iter().map(|grant| grant.total).sum()
    }

    /// Number of answers granted in the present step.
    #[must_use]
    pub fn granted_in_step(&self) -> u64 {
        self.granted().saturating_sub(self.granted_before)
    }

    /// Returns the total granted to an incarnation of an entry; 0 without a grant.
    #[must_use]
    pub fn grant_of(&self, vm: &ids::VmName, incarnation: ids::Incarnation) -> u64 {
        self.grants
            .iter()
            .find(|grant| grant.vm == *vm && grant.incarnation == incarnation)
            .map_or(0, |grant| grant.total)
    }
}

/// Estimates that the driver published last.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Published {
    /// First record of the `evidence` stream that is not included.
    pub evidence: ids::Offset,
    /// Estimates by version and request class.
    pub cells: Vec<(ids::VersionName, estimate::RequestClass, estimate::Estimate)>,
}
