//! Streams of the log, and results of reads and appends on them.

use crate::ids;

/// A stream of the log that the system uses; its name is the name of the topic.
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
    /// Changes of the operators' configuration, and checkpoints.
    Config,
    /// Leases, rollouts, allotments, estimates and crash reports.
    Control,
    /// Quality ratings of answers.
    Evidence,
    /// Claims and outcomes of non-idempotent calls.
    Calls,
    /// Usage records, from which requests are billed.
    Usage,
}

/// A record of a stream, as read from the log.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: ids::Offset,
    /// Decoded content; null where the record is not valid JSON.
    pub body: serde_json::Value,
}

/// Consecutive records of a stream, the result of one read.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Page {
    /// Offset of the oldest retained record, or of the next record where none is retained.
    pub first_retained: ids::Offset,
    /// Offset that the next appended record will have.
    pub end: ids::Offset,
    /// Records in the order of their offsets.
    pub records: Vec<LogRecord>,
}

impl Page {
    /// Returns the offset of the next read; at or beyond [`Self::end`] once all records are read.
    #[must_use]
    pub fn next_offset(&self) -> ids::Offset {
        self.records
            .last()
            .map_or(self.end, |record| record.offset.next())
    }
}

/// Result of a successful append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AppendResult {
    /// Offset of the first appended record; the others have the offsets after it.
    pub first: ids::Offset,
}
