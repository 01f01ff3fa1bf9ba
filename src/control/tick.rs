//! Context that is passed to the systems during a tick.

use std::time::Instant;

use crate::control;
use crate::ids;
use crate::ledger;
use crate::platform;

/// Inputs of one tick, and the effects that systems request during it.
#[derive(Debug)]
pub struct TickCx {
    /// Time at which the tick started; the only clock that systems use.
    pub now: Instant,
    /// Events received since the last tick, in order.
    pub events: Vec<control::Event>,
    /// Actions requested from the I/O tasks, in order.
    pub effects: Vec<control::Effect>,
    /// Whether a new snapshot must be published after the tick.
    pub changed: bool,
    /// Whether `control` records changed the ledger during this tick.
    pub ledger_changed: bool,
}

impl TickCx {
    /// Creates the context of a tick over these events.
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

    /// Requests the append of a record to `control`. `from` is the lowest offset at
    /// which the record can be found.
    pub fn append(&mut self, from: ids::Offset, entry: &ledger::Message) {
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
