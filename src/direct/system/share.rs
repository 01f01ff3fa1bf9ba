//! System that follows the share of this entry in limits over all entries.

use std::sync::Arc;

use crate::direct;
use crate::direct::system::TickCx;

/// Applies the leases assigned in this tick.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    for event in &cx.events {
        let direct::Event::Assigned(assignment) = event else {
            continue;
        };
        let all = world.settings.leases;
        let leases = Arc::clone(&assignment.leases);
        let assigned = world.share.clone().assign(leases, all);
        if assigned != world.share {
            log::info!(target: "share", leases = assignment.leases.len(), all = all,
                share:% = assigned.of_connections();
                "share of the limits over all entries changed");
            world.share = assigned;
            cx.changed = true;
        }
        let confirmation = direct::Confirmation {
            as_of: assignment.call_started,
            end: None,
        };
        world.share_confirmed = Some(confirmation.or_later(world.share_confirmed));
    }
}
