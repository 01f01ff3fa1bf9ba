//! Handles the start of a planned stop.

use crate::control;

/// Marks the process as stopping on the first [`control::Event::Stop`].
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    if !world.stopping
        && cx
            .events
            .iter()
            .any(|event| matches!(event, control::Event::Stop))
    {
        world.stopping = true;
        cx.changed = true;
        log::info!("control: planned stop begins.");
    }
}
