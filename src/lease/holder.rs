//! Identity of a process that may hold the lease.

use crate::ids;

/// Incarnation of an entry. A restarted entry is a different holder.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// VM on which the entry runs.
    pub vm: ids::VmName,
    /// Incarnation of the entry process.
    pub incarnation: ids::Incarnation,
}
