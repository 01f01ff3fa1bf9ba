//! What the catalog and the ledger have in common.

use std::sync::Arc;

use crate::catalog;
use crate::ids;
use crate::ledger;
use crate::wire;

/// A pure state machine over one stream of the log.
pub trait Machine: Default {
    /// Prefix of log lines.
    const PREFIX: &'static str;
    /// A record with its position.
    type Record: Clone;

    /// Position of a record.
    fn offset(record: &Self::Record) -> ids::Offset;

    /// The record's covered offset, where it is a checkpoint.
    fn covers(record: &Self::Record) -> Option<ids::Offset>;

    /// The form of a record's content in an update.
    fn encode(record: &Self::Record) -> Arc<str>;

    /// Takes the state of a checkpoint that covers more than is applied.
    fn restore(&mut self, record: &Self::Record);

    /// The offset of the first record that is not applied.
    fn next_offset(&self) -> ids::Offset;

    /// A checkpoint of the present state in the form of a record.
    fn checkpoint_record(&self) -> Option<Self::Record>;
}

impl Machine for catalog::Catalog {
    const PREFIX: &'static str = "catalog";
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
        wire::encode(&record.body)
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
    const PREFIX: &'static str = "control";
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
        wire::encode(&record.entry)
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
            entry: Some(ledger::Entry::new(ledger::Body::Checkpoint(checkpoint))),
        })
    }
}
