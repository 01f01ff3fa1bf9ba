//! Control plane of a direct entry.

use std::sync::Arc;
use std::time::Instant;

use crate::control;
use crate::direct;
use crate::direct::system;
use crate::runtime;

/// The tables of a direct entry, with the systems that run over them.
#[derive(Debug)]
pub struct Plane {
    world: direct::World,
    /// Ages in the last snapshot.
    freshness: Arc<direct::Freshness>,
    share_freshness: Arc<direct::Freshness>,
}

impl Plane {
    /// Creates a control plane over these tables.
    #[must_use]
    pub fn new(world: direct::World) -> Self {
        Self {
            world,
            freshness: Arc::default(),
            share_freshness: Arc::default(),
        }
    }

    /// Runs all systems over `events` at the time `now`; returns a snapshot only if
    /// something that traffic sees has changed.
    pub fn step(
        &mut self,
        now: runtime::Moment,
        events: Vec<direct::Event>,
    ) -> control::Outcome<Self> {
        let mut cx = system::TickCx::new(now, events);
        for system in system::ALL {
            system(&mut self.world, &mut cx);
        }
        let snapshot = cx.changed.then(|| system::snapshot(&self.world));
        if let Some(snapshot) = &snapshot {
            // Requests that still hold the snapshot before lack the change, so that its ages are
            // not renewed any more.
            self.freshness = Arc::clone(&snapshot.freshness);
            self.share_freshness = Arc::clone(&snapshot.share_freshness);
        } else {
            self.freshness.confirm(self.world.config_confirmed);
            self.share_freshness.confirm(self.world.share_confirmed);
        }
        control::Outcome {
            snapshot,
            effects: cx.effects,
        }
    }
}

impl control::Plane for Plane {
    type Event = direct::Event;
    type Effect = direct::Effect;
    type Snapshot = direct::Snapshot;

    fn is_deferrable(event: &direct::Event) -> bool {
        matches!(event, direct::Event::Endpoints(_))
    }

    fn tick(&mut self, _: Instant, events: Vec<direct::Event>) -> control::Outcome<Self> {
        self.step(runtime::Moment::now(), events)
    }
}
