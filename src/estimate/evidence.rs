//! Ratings that entries send to the lease holder.

use std::sync::Arc;

use crate::estimate;
use crate::ids;

/// Record of the `evidence` stream: ratings that one entry has collected since its last
/// record.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Evidence {
    /// VM of the entry that wrote the record.
    pub entry: ids::VmName,
    /// Incarnation of the entry that wrote the record.
    pub incarnation: ids::Incarnation,
    /// Number of the record within the incarnation, from 0; identifies a retried append.
    pub sequence: u64,
    /// Ratings since the last record, by version and class; an answer that failed on the
    /// version counts as rated 0.
    pub cells: Vec<(ids::VersionName, estimate::RequestClass, estimate::Estimate)>,
    /// Answers drawn from each rollout since the start of the incarnation.
    pub spent: Vec<(Arc<str>, u64)>,
}
