//! Changes of the process itself: its settings, and a planned stop.

use crate::direct;
use crate::direct::system::TickCx;

/// Takes changed settings and marks the process as stopping.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    for event in &cx.events {
        match event {
            direct::Event::Settings(settings) => world.settings = (**settings).clone(),
            direct::Event::Stop => {
                cx.changed |= !world.stopping;
                world.stopping = true;
            }
            _ => {}
        }
    }
}
