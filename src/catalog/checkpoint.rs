//! Checkpoints of the catalog.

use crate::catalog;
use crate::ids;

/// The complete catalog as of an offset, appended before older records expire.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Checkpoint {
    /// Offset of the last record that the checkpoint includes.
    pub covers: ids::Offset,
    /// All objects including deleted ones, in order of their ids.
    pub entries: Vec<(catalog::ObjectId, catalog::StoredObject)>,
}
