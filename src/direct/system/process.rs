//! Changes of the process itself: its settings.

use crate::direct;
use crate::direct::system::TickCx;

/// Takes changed settings.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    for event in &cx.events {
        if let direct::Event::Settings(settings) = event {
            world.settings = (**settings).clone();
        }
    }
}
