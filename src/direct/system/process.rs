//! System that applies changes of the process settings.

use crate::direct;
use crate::direct::system::TickCx;

/// Replaces the settings by those of the last reload in this tick.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    for event in &cx.events {
        if let direct::Event::Settings(settings) = event {
            world.settings = (**settings).clone();
        }
    }
}
