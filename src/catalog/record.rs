//! Records of the `config` stream.

use crate::catalog;
use crate::ids;

/// A record of the `config` stream with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Position of the record in the stream.
    pub offset: ids::Offset,
    /// Content; `None` if it could not be decoded, in which case every reader skips it.
    pub body: Option<Body>,
}

/// Content of a record of the `config` stream.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A change made by an operator.
    Change(catalog::Change),
    /// The complete catalog as of an earlier record.
    Checkpoint(catalog::Checkpoint),
}
