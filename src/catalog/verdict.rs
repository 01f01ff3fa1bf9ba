//! What became of a change.

use crate::ids;

/// The outcome of a change; the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The change is in force from this offset on.
    Accepted {
        /// Offset of the record.
        offset: ids::Offset,
        /// The object's new revision.
        revision: ids::Revision,
    },
    /// The change has no effect.
    Rejected {
        /// Offset of the record.
        offset: ids::Offset,
        /// Why.
        reason: RejectReason,
    },
}

/// Why a change has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// The base was not the object's revision.
    Conflict {
        /// The object's revision at that offset.
        current: ids::Revision,
    },
    /// The content is not of the kind of the object.
    WrongKind,
    /// There was no object to delete.
    Missing,
}
