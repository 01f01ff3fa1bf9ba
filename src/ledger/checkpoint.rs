//! Checkpoints of the ledger.

use crate::ids;
use crate::ledger;

/// The complete ledger as of an offset, appended before older records expire.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Checkpoint {
    /// Offset of the last record that the checkpoint includes.
    pub covers: ids::Offset,
    /// State after that record.
    pub state: ledger::State,
}
