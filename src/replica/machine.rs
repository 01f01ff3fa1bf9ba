//! Interface shared by the catalog and the ledger.

use std::sync::Arc;

use crate::catalog;
use crate::ids;
use crate::ledger;
use crate::wire;

/// A deterministic state machine over the records of one stream of the log.
pub trait Machine: Default {
    /// Prefix of the log lines about this machine.
    const LOG_PREFIX: &'static str;
    /// A record of the stream with its offset.
    type Record: Clone;

    /// Returns the offset of a record.
    fn offset(record: &Self::Record) -> ids::Offset;

    /// Returns the last offset that a checkpoint covers; `None` for other records.
    fn covers(record: &Self::Record) -> Option<ids::Offset>;

    /// Encodes a record's content as sent in updates to other processes.
    fn encode(record: &Self::Record) -> Arc<str>;

    /// Replaces the state by that of a checkpoint that covers more than is applied.
    fn restore(&mut self, record: &Self::Record);

    /// Returns the offset of the first record that is not applied.
    fn next_offset(&self) -> ids::Offset;

    /// Returns a checkpoint of the current state as a record; `None` if there is
    /// nothing to cover.
    fn checkpoint_record(&self) -> Option<Self::Record>;
}

impl Machine for catalog::Catalog {
    const LOG_PREFIX: &'static str = "catalog";
    type Record = catalog::Record;

    fn offset(record: &catalog::Record) -> ids::Offset {
        record.offset
    }

    fn covers(record: &catalog::Record) -> Option<ids::Offset> {
        match &record.body {
            Some(catalog::Body::Checkpoint(checkpoint)) => Some(checkpoint.covers),
            _ => None,
        }
    }

    fn encode(record: &catalog::Record) -> Arc<str> {
        wire::encode_record(&record.body)
    }

    fn restore(&mut self, record: &catalog::Record) {
        if let Some(catalog::Body::Checkpoint(checkpoint)) = &record.body {
            self.apply_checkpoint(checkpoint);
        }
    }

    fn next_offset(&self) -> ids::Offset {
        self.next_offset()
    }

    fn checkpoint_record(&self) -> Option<catalog::Record> {
        self.checkpoint().map(|checkpoint| catalog::Record {
            offset: checkpoint.covers,
            body: Some(catalog::Body::Checkpoint(checkpoint)),
        })
    }
}

impl Machine for ledger::Ledger {
    const LOG_PREFIX: &'static str = "control";
    type Record = ledger::Record;

    fn offset(record: &ledger::Record) -> ids::Offset {
        record.offset
    }

    fn covers(record: &ledger::Record) -> Option<ids::Offset> {
        match record.entry.as_ref().map(|entry| &entry.body) {
            Some(ledger::Body::Checkpoint(checkpoint)) => Some(checkpoint.covers),
            _ => None,
        }
    }

    fn encode(record: &ledger::Record) -> Arc<str> {
        wire::encode_record(&record.entry)
    }

    fn restore(&mut self, record: &ledger::Record) {
        if let Some(ledger::Body::Checkpoint(checkpoint)) =
            record.entry.as_ref().map(|entry| &entry.body)
        {
            self.apply_checkpoint(checkpoint);
        }
    }

    fn next_offset(&self) -> ids::Offset {
        self.next_offset()
    }

    fn checkpoint_record(&self) -> Option<ledger::Record> {
        self.checkpoint().map(|checkpoint| ledger::Record {
            offset: checkpoint.covers,
            entry: Some(ledger::Message::new(ledger::Body::Checkpoint(checkpoint))),
        })
    }
}
