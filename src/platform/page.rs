//! Messages of the log's HTTP API.

use crate::ids;

/// Streams of the log that the system uses.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Stream {
    /// Operator configuration and checkpoints.
    Config,
    /// Leases, roll-outs, allotments, estimates and crash reports.
    Control,
    /// Ratings of answers.
    Evidence,
    /// Claims and outcomes of non-idempotent calls.
    Calls,
    /// Usage records.
    Usage,
}

/// A record as the log returns it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: ids::Offset,
    /// Content.
    pub body: serde_json::Value,
}

/// Answer to a read.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Page {
    /// Offset of the oldest record that is retained, or of the next record where there is none.
    pub first_retained: ids::Offset,
    /// Offset that the next appended record will have.
    pub end: ids::Offset,
    /// Records in order.
    pub records: Vec<LogRecord>,
}

impl Page {
    /// Where to read on; at or beyond [`Self::end`] once all has been read.
    #[must_use]
    pub fn next_offset(&self) -> ids::Offset {
        self.records
            .last()
            .map_or(self.end, |record| record.offset.next())
    }
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Append {
    /// Offset of the first appended record; the others follow it.
    pub first: ids::Offset,
}
