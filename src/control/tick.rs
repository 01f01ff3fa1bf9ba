//! Context of one tick.

use std::time::Instant;

use crate::control;
use crate::ids;
use crate::ledger;
use crate::platform;

/// What a system sees of one tick, and where it puts what it asks for.
#[derive(Debug)]
pub struct TickCx {
    /// Time of the tick.
    pub now: Instant,
    /// What happened since the last tick, in order.
    pub events: Vec<control::Event>,
    /// What the I/O tasks are asked to do, in order.
    pub effects: Vec<control::Effect>,
    /// Whether the snapshot has to be made again.
    pub changed: bool,
    /// Whether records of `control` changed the ledger in this tick.
    pub ledger_changed: bool,
}

impl TickCx {
    /// A tick with these events.
    #[must_use]
    pub const fn new(now: Instant, events: Vec<control::Event>) -> Self {
        Self {
            now,
            events,
            effects: Vec::new(),
            changed: false,
            ledger_changed: false,
        }
    }

    /// Asks for a record of `control`. `from` is the first offset at which it can lie.
    pub fn append(&mut self, from: ids::Offset, entry: &ledger::Entry) {
        match serde_json::to_value(entry) {
            Ok(record) => self.effects.push(control::Effect::Append(control::Append {
                stream: platform::Stream::Control,
                id: Some(entry.id),
                from,
                record,
            })),
            Err(err) => log::error!("control: record cannot be encoded: {err}."),
        }
    }
}
