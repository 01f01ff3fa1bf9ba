//! The state that records of the `control` stream lead to.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::lease;
use crate::ledger;
use crate::rollout;

/// Everything that the records applied so far have led to.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct State {
    /// The lease of the driver; `None` before its first claim.
    pub lease: Option<LeaseRow>,
    /// Roll-outs by name.
    pub rollouts: BTreeMap<Arc<str>, RolloutRow>,
    /// Published estimates.
    pub published: Published,
    /// The last crashes, oldest first.
    pub crashes: VecDeque<fleet::CrashReport>,
}

/// A lease that has been claimed at least once.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRow {
    /// The last accepted record.
    pub last: ids::Offset,
    /// Id of that record.
    pub id: ids::ChangeId,
    /// Offset of the last accepted claim.
    pub fence: ids::Fence,
    /// Who made that claim; `None` once released.
    pub holder: Option<lease::Holder>,
}

/// A roll-out.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RolloutRow {
    /// How far it is.
    pub progress: rollout::Progress,
    /// Grants since its start, also those of entries that are gone.
    pub grants: Vec<ledger::Grant>,
    /// Sum of the grants when the present step began.
    pub granted_before: u64,
    /// Ratings since the present step began.
    pub ratings: estimate::Estimate,
}

impl RolloutRow {
    /// Sum of all grants since the start.
    #[must_use]
    pub fn granted(&self) -> u64 {
        self.grants.iter().map(|grant| grant.total).sum()
    }

    /// Sum of the grants of the present step.
    #[must_use]
    pub fn granted_in_step(&self) -> u64 {
        self.granted().saturating_sub(self.granted_before)
    }

    /// The total granted to a run of an entry.
    #[must_use]
    pub fn grant_of(&self, vm: &ids::VmName, incarnation: ids::Incarnation) -> u64 {
        self.grants
            .iter()
            .find(|grant| grant.vm == *vm && grant.incarnation == incarnation)
            .map_or(0, |grant| grant.total)
    }
}

/// Estimates as last published.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Published {
    /// The first record of `evidence` that is not included.
    pub evidence: ids::Offset,
    /// The estimates.
    pub cells: Vec<(ids::VersionName, estimate::RequestClass, estimate::Estimate)>,
}
