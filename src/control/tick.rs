//! Context of one tick.

use std::time::Instant;

use crate::control;

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
        }
    }
}
