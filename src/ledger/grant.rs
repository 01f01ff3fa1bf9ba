//! Grants of rollout answers to entries.

use crate::ids;

/// Number of answers that one incarnation of an entry may draw from a version in rollout.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// VM of the entry.
    pub vm: ids::VmName,
    /// Incarnation of the entry; a restarted entry does not inherit the remainder.
    pub incarnation: ids::Incarnation,
    /// Total granted since the start of the rollout.
    pub total: u64,
}

impl Grant {
    /// Whether both grants are for the same incarnation of the same entry.
    #[must_use]
    pub fn has_same_recipient(&self, other: &Self) -> bool {
        self.vm == other.vm && self.incarnation == other.incarnation
    }
}
