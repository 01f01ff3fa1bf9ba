//! Log records that processes forward to each other, encoded as JSON texts.

use std::sync::Arc;

use crate::catalog;
use crate::ids;
use crate::ledger;

/// Log records as JSON texts, with their offsets.
pub type LogRecords = Vec<(ids::Offset, Arc<str>)>;

/// Decodes the `config` records of an update. A record that cannot be decoded
/// keeps its offset and has no body, as when it is read from the log.
#[must_use]
pub fn decode_config(records: &LogRecords) -> Vec<catalog::Record> {
    records
        .iter()
        .map(|(offset, text)| catalog::Record {
            offset: *offset,
            body: serde_json::from_str(text).ok(),
        })
        .collect()
}

/// Decodes the `control` records of an update, in the manner of [`decode_config`].
#[must_use]
pub fn decode_control(records: &LogRecords) -> Vec<ledger::Record> {
    records
        .iter()
        .map(|(offset, text)| ledger::Record {
            offset: *offset,
            entry: serde_json::from_str(text).ok(),
        })
        .collect()
}

/// Encodes the content of a record for an update; `null` if there is no
/// decoded content or it cannot be encoded.
#[must_use]
pub fn encode_record(content: &impl serde::Serialize) -> Arc<str> {
    serde_json::to_string(content)
        .unwrap_or_else(|_| "null".into())
        .into()
}
