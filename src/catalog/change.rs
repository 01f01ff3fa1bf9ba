//! Changes to configuration objects.

use std::sync::Arc;

use crate::catalog;
use crate::ids;

/// A change to one object, applied as a compare-and-set on its revision.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// Chosen by the writer before the first append, so that a retried append
    /// after a lost answer is recognised as a duplicate.
    pub id: ids::ChangeId,
    /// Object that is created, replaced or deleted.
    pub object: catalog::ObjectId,
    /// Revision that the change is based on; 0 for an object that never existed.
    pub base: ids::Revision,
    /// New content; `None` deletes the object.
    pub content: Option<catalog::Object>,
    /// Name of the operator, for the audit log.
    pub author: Arc<str>,
}
