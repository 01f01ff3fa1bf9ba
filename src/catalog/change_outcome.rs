//! Outcome of a configuration change.

use crate::ids;

/// Outcome of a change; the same in every process that applies the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change takes effect at this offset.
    Accepted {
        /// Offset of the change's record.
        offset: ids::Offset,
        /// New revision of the object.
        revision: ids::Revision,
    },
    /// The change was rejected and has no effect.
    Rejected {
        /// Offset of the change's record.
        offset: ids::Offset,
        /// Reason for the rejection.
        reason: RejectReason,
    },
}

/// Why a change was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// The change is not based on the object's current revision.
    Conflict {
        /// Revision of the object at the offset of the change.
        current: ids::Revision,
    },
    /// The kind of the content differs from the kind in the object id.
    WrongKind,
    /// The object to delete does not exist.
    Missing,
}
