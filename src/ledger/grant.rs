//! Grants of answers to entries.

use crate::ids;

/// Answers that one run of an entry may draw from a version in roll-out.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// The entry.
    pub vm: ids::VmName,
    /// Its run; a restarted entry does not inherit what its predecessor had left.
    pub incarnation: ids::Incarnation,
    /// Total since the start of the roll-out.
    pub total: u64,
}

impl Grant {
    /// Whether both grants are for the same run of the same entry.
    #[must_use]
    pub fn is_for(&self, other: &Self) -> bool {
        self.vm == other.vm && self.incarnation == other.incarnation
    }
}
