//! Context of one tick.

use crate::direct;
use crate::runtime;

/// What a system sees of one tick, and where it puts what it asks for.
#[derive(Debug)]
pub struct TickCx {
    /// Time of the tick.
    pub now: runtime::Moment,
    /// What happened since the last tick, in order.
    pub events: Vec<direct::Event>,
    /// What the I/O tasks are asked to do, in order.
    pub effects: Vec<direct::Effect>,
    /// Whether the snapshot has to be made again.
    pub changed: bool,
}

impl TickCx {
    /// A tick with these events.
    #[must_use]
    pub const fn new(now: runtime::Moment, events: Vec<direct::Event>) -> Self {
        Self {
            now,
            events,
            effects: Vec::new(),
            changed: false,
        }
    }
}
