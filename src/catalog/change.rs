//! Changes of configuration.

use std::sync::Arc;

use crate::catalog;
use crate::ids;

/// A change of one object, by compare-and-set on its revision.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// Chosen by the author before the first append, so that a repeated
    /// append after a lost answer is recognised.
    pub id: ids::ChangeId,
    /// The object.
    pub object: catalog::ObjectId,
    /// The revision that the change was made on; 0 creates the object.
    pub base: ids::Revision,
    /// The new content, or `None` to delete the object.
    pub content: Option<catalog::Object>,
    /// The operator, for the audit.
    pub author: Arc<str>,
}
