//! The records that this entry passes on, for the handler of polls and the tasks that read.

use std::sync::{Mutex, MutexGuard, PoisonError};

use event_listener::{Event, EventListener};

use crate::direct;
use crate::peers;

/// One [`peers::RelayLog`] for each topic.
#[derive(Debug, Default)]
pub struct Relays {
    operator: Topic,
    endpoints: Topic,
    reports: Topic,
}

#[derive(Debug, Default)]
struct Topic {
    log: Mutex<peers::RelayLog>,
    changed: Event,
}

impl Topic {
    fn lock(&self) -> MutexGuard<'_, peers::RelayLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Relays {
    const fn topic(&self, source: direct::Source) -> &Topic {
        match source {
            direct::Source::Operator => &self.operator,
            direct::Source::Endpoints => &self.endpoints,
            direct::Source::Reports => &self.reports,
        }
    }

    /// Changes the log of a topic and notifies the polls that wait.
    pub fn update(&self, source: direct::Source, change: impl FnOnce(&mut peers::RelayLog)) {
        let topic = self.topic(source);
        change(&mut topic.lock());
        topic.changed.notify(usize::MAX);
    }

    /// Returns a listener for the next change of a topic.
    pub fn listen(&self, source: direct::Source) -> EventListener {
        self.topic(source).changed.listen()
    }

    /// Returns what `read` finds in the log of a topic.
    pub fn read<T>(&self, source: direct::Source, read: impl FnOnce(&peers::RelayLog) -> T) -> T {
        read(&self.topic(source).lock())
    }
}
