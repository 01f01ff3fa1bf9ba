//! Detects endpoints that have become silent.

use std::time::Instant;

use crate::control;

/// Requests a new snapshot when an endpoint becomes silent. Otherwise it would
/// remain in the snapshot until the next event.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let became_silent = |link: Option<&control::Link>| {
        let is_responsive_at = |now: Instant| control::World::is_responsive(link, now);
        is_responsive_at(world.last_tick) && !is_responsive_at(cx.now)
    };
    for (_, row) in world.endpoints.iter() {
        if became_silent(row.link.as_ref()) {
            log::warn!("peer: endpoint {} is silent and gets no new work.", row.vm);
            cx.changed = true;
        }
    }
}
