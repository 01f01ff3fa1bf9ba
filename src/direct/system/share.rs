//! System that follows the share of this entry in limits over all entries.

use crate::direct;
use crate::direct::system::TickCx;
use crate::units;

/// Applies the leases assigned in this tick.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    for event in &cx.events {
        let direct::Event::Assigned(assignment) = event else {
            continue;
        };
        let all = world.settings.leases;
        let share = units::Share::clamped(f64::from(assignment.leases) / f64::from(all));
        let assigned = world.share.assign(share);
        if assigned != world.share {
            log::info!(target: "share", leases = assignment.leases, all = all, share:% = share;
                "share of the limits over all entries changed");
            world.share = assigned;
            cx.changed = true;
        }
        world.share_freshness.confirm(assignment.call_started);
    }
}
