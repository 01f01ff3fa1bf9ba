//! Records of the `control` stream.

use crate::ids;
use crate::ledger;

/// A record with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Position in the `control` stream.
    pub offset: ids::Offset,
    /// Content; `None` where it could not be decoded, which all readers skip alike.
    pub entry: Option<Entry>,
}

/// Content of a record with the id by which its writer finds it again.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Chosen before the first append, so that a writer whose answer was lost
    /// can look for the record before it appends again.
    pub id: ids::ChangeId,
    /// What is recorded.
    pub body: ledger::Body,
}

impl Entry {
    /// An entry with a new id.
    #[must_use]
    pub fn new(body: ledger::Body) -> Self {
        Self {
            id: ids::ChangeId::generate(),
            body,
        }
    }
}
