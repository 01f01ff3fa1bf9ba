//! Faults that the proxies inject.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use event_listener::Event;

use crate::units;

/// Faults of a link; the default passes everything on.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay of each direction.
    pub delay: Duration,
    /// Nothing passes from the client to the target. TCP holds the bytes
    /// until the cut ends, as retransmission would; UDP drops them.
    pub cut_to_target: bool,
    /// Nothing passes from the target to the client.
    pub cut_to_client: bool,
    /// Closes TCP connections once the target answers, without passing the answer on.
    pub drop_response: bool,
    /// Share of UDP datagrams that are sent twice.
    pub duplicate: units::Share,
    /// Share of UDP datagrams that are sent after later ones.
    pub reorder: units::Share,
}

impl Faults {
    /// A cut in both directions.
    #[must_use]
    pub fn cut() -> Self {
        Self {
            cut_to_target: true,
            cut_to_client: true,
            ..Self::default()
        }
    }

    pub(super) const fn is_cut(&self, direction: Direction) -> bool {
        match direction {
            Direction::ToTarget => self.cut_to_target,
            Direction::ToClient => self.cut_to_client,
        }
    }
}

/// Direction of traffic through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

/// The faults in force; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Link(Arc<State>);

#[derive(Debug, Default)]
struct State {
    faults: Mutex<Faults>,
    changed: Event,
}

impl Link {
    pub(super) fn faults(&self) -> Faults {
        *self.0.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set(&self, faults: Faults) {
        *self.0.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
        self.0.changed.notify(usize::MAX);
    }

    /// Waits until the direction is not cut; returns the faults then in force.
    pub(super) async fn open(&self, direction: Direction) -> Faults {
        loop {
            let listener = self.0.changed.listen();
            let faults = self.faults();
            if !faults.is_cut(direction) {
                return faults;
            }
            listener.await;
        }
    }
}
