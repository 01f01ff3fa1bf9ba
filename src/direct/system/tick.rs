//! Context shared by the systems during one tick.

use crate::direct;
use crate::runtime;

/// Input of the systems in one tick, and their requests to the I/O tasks.
#[derive(Debug)]
pub struct TickCx {
    /// Time of the tick, the same for all systems.
    pub now: runtime::Moment,
    /// Events received since the last tick, in order of arrival.
    pub events: Vec<direct::Event>,
    /// Effects requested from the I/O tasks, in order of execution.
    pub effects: Vec<direct::Effect>,
    /// Whether the snapshot must be rebuilt; set by any system.
    pub changed: bool,
}

impl TickCx {
    /// Creates the context of a tick with these events.
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
