//! Begins a planned stop.

use crate::direct;
use crate::direct::system::TickCx;

/// Marks the process as stopping.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let asked = cx
        .events
        .iter()
        .any(|event| matches!(event, direct::Event::Stop));
    if asked && !world.stopping {
        world.stopping = true;
        cx.changed = true;
    }
}
