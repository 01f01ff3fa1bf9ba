//! Checkpoints of the ledger.

use crate::ids;
use crate::ledger;

/// The whole ledger as of an offset, appended before older records expire.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Checkpoint {
    /// The last record that the checkpoint includes.
    pub covers: ids::Offset,
    /// The state.
    pub state: ledger::State,
}
