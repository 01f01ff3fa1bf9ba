//! Entries as they know each other.

use crate::ids;

/// An entry as other entries see it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: ids::VmName,
    /// Its run.
    pub incarnation: ids::Incarnation,
    /// Grows with each change of the row within a run.
    pub beat: u64,
    /// Last `config` record that it has applied.
    pub config: Option<ids::Offset>,
    /// The oldest `config` record that any of its endpoints has applied.
    pub endpoints_config: Option<ids::Offset>,
    /// Endpoints to which it is connected.
    pub endpoints: u32,
}
