//! Records of the `control` stream.

use crate::ids;
use crate::ledger;

/// A record of the `control` stream with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Position of the record in the stream.
    pub offset: ids::Offset,
    /// Content; `None` if it could not be decoded, in which case every reader skips it.
    pub entry: Option<Message>,
}

/// Content of a record with the id by which its writer recognises it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// Chosen before the first append, so that a writer that got no answer can
    /// look for the record before it retries.
    pub id: ids::ChangeId,
    /// Content of the record.
    pub body: ledger::Body,
}

impl Message {
    /// Creates an entry with a newly generated id.
    #[must_use]
    pub fn new(body: ledger::Body) -> Self {
        Self {
            id: ids::ChangeId::generate(),
            body,
        }
    }
}
