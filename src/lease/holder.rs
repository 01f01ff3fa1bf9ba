//! Who may hold the lease.

use crate::ids;

/// A run of an entry; a restarted entry is another holder.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// The entry.
    pub vm: ids::VmName,
    /// Its run.
    pub incarnation: ids::Incarnation,
}
