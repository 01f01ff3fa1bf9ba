//! Records of the `config` stream.

use crate::catalog;
use crate::ids;

/// A record with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Position in the `config` stream.
    pub offset: ids::Offset,
    /// Content; `None` where it could not be decoded, which all readers skip alike.
    pub body: Option<Body>,
}

/// Content of a record of the `config` stream.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// An operator's change.
    Change(catalog::Change),
    /// The whole catalog.
    Checkpoint(catalog::Checkpoint),
}
