//! Faults that the proxies inject into a link.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use event_listener::Event;

use crate::units;

/// Faults of a link; the default forwards everything unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Added delay in each direction.
    pub delay: Duration,
    /// Blocks traffic from the client to the target. TCP holds the bytes back
    /// until the cut ends, as retransmission would; UDP drops them.
    pub cut_to_target: bool,
    /// Blocks traffic from the target to the client, likewise.
    pub cut_to_client: bool,
    /// Closes a TCP connection when the target answers, without forwarding the answer.
    pub drop_response: bool,
    /// Fraction of UDP datagrams that are sent twice.
    pub duplicate: units::Share,
    /// Fraction of UDP datagrams that are delayed so that later ones overtake them.
    pub reorder: units::Share,
}

impl Faults {
    /// Returns a cut in both directions.
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

/// Direction of traffic through a proxy, seen from the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Requests: from the client to the target.
    ToTarget,
    /// Responses: from the target to the client.
    ToClient,
}

/// The currently injected faults of a link, shared by all clones.
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

    /// Waits until the direction is not cut; returns the faults in effect at that time.
    pub(super) async fn wait_uncut(&self, direction: Direction) -> Faults {
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
