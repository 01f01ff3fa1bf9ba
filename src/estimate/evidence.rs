//! Ratings on their way to the lease holder.

use std::sync::Arc;

use crate::estimate;
use crate::ids;

/// Record of the `evidence` stream: what one entry has learned since its last record.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Evidence {
    /// The entry.
    pub entry: ids::VmName,
    /// Its run.
    pub incarnation: ids::Incarnation,
    /// Number of the record within the run, from 0; a repeated append is recognised by it.
    pub sequence: u64,
    /// Ratings since the last record; an answer that failed on the version counts as rated 0.
    pub cells: Vec<(ids::VersionName, estimate::RequestClass, estimate::Estimate)>,
    /// Answers drawn from each roll-out since the start of the run.
    pub spent: Vec<(Arc<str>, u64)>,
}
