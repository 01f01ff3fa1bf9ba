//! Records of the log on their way between processes, as JSON texts.

use std::sync::Arc;

use crate::catalog;
use crate::ids;
use crate::ledger;

/// Records with their offsets.
pub type Records = Vec<(ids::Offset, Arc<str>)>;

/// The `config` records in an update. One that cannot be decoded keeps its
/// place, as when it is read from the log.
#[must_use]
pub fn decode_config(records: &Records) -> Vec<catalog::Record> {
    records
        .iter()
        .map(|(offset, text)| catalog::Record {
            offset: *offset,
            body: serde_json::from_str(text).ok(),
        })
        .collect()
}

/// The `control` records in an update; see [`decode_config`].
#[must_use]
pub fn decode_control(records: &Records) -> Vec<ledger::Record> {
    records
        .iter()
        .map(|(offset, text)| ledger::Record {
            offset: *offset,
            entry: serde_json::from_str(text).ok(),
        })
        .collect()
}

/// The form of a record's content in an update; `null` where it was not decoded.
#[must_use]
pub fn encode(content: &impl serde::Serialize) -> Arc<str> {
    serde_json::to_string(content)
        .unwrap_or_else(|_| "null".into())
        .into()
}
