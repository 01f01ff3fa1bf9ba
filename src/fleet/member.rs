//! Membership rows that entries exchange about each other.

use crate::ids;

/// State of an entry as it announces it to other entries.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// VM on which the entry runs.
    pub vm: ids::VmName,
    /// Incarnation of the entry's process.
    pub incarnation: ids::Incarnation,
    /// Version of the row; increases with each change within an incarnation.
    pub beat: u64,
    /// Offset of the last `config` record that the entry has applied; `None` before the first.
    pub config: Option<ids::Offset>,
    /// Minimum offset of the last applied `config` records of its connected
    /// endpoints; `None` if it has none or one has applied no record.
    pub endpoints_config: Option<ids::Offset>,
    /// Number of endpoints to which the entry is connected.
    pub endpoints: u32,
}
