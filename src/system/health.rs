//! Notices endpoints that have fallen silent.

use std::time::Instant;

use crate::control;

/// Runs the system. Without it an endpoint that falls silent would stay in
/// the snapshot until the next event.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let fell_silent = |link: Option<&control::Link>| {
        let heard = |now: Instant| control::World::is_heard(link, now);
        heard(world.last_tick) && !heard(cx.now)
    };
    for (_, row) in world.endpoints.iter() {
        if fell_silent(row.link.as_ref()) {
            log::warn!("peer: endpoint {} is silent and gets no new work.", row.vm);
            cx.changed = true;
        }
    }
}
