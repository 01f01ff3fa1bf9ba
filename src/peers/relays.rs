//! The records that this entry passes on, for the handler of polls and the tasks that read.

use std::sync::{Mutex, MutexGuard, PoisonError};

use event_listener::{Event, EventListener};

use crate::direct;
use crate::peers;

/// One [`peers::RelayLog`] for each topic.
#[derive(Debug, Default)]
pub struct Relays {
    operator: Mutex<peers::RelayLog>,
    endpoints: Mutex<peers::RelayLog>,
    reports: Mutex<peers::RelayLog>,
    changed: Event,
}

impl Relays {
    fn lock(&self, source: direct::Source) -> MutexGuard<'_, peers::RelayLog> {
        let log = match source {
            direct::Source::Operator => &self.operator,
            direct::Source::Endpoints => &self.endpoints,
            direct::Source::Reports => &self.reports,
        };
        log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the log of a topic and notifies the polls that wait.
    pub fn update(&self, source: direct::Source, change: impl FnOnce(&mut peers::RelayLog)) {
        change(&mut self.lock(source));
        self.changed.notify(usize::MAX);
    }

    /// Returns a listener for the next change of any topic.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Returns what `read` finds in the log of a topic.
    pub fn read<T>(&self, source: direct::Source, read: impl FnOnce(&peers::RelayLog) -> T) -> T {
        read(&self.lock(source))
    }
}
