//! System that follows the group of entries and what this one does for the others.

use std::sync::Arc;

use crate::direct;
use crate::direct::system::TickCx;

/// Applies the listings of this tick.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    for event in &cx.events {
        let direct::Event::MembersListed(listed) = event else {
            continue;
        };
        let (vm, domain) = (&world.settings.vm, &world.settings.domain);
        world.members.replace(listed, world.settings.leases);
        let duty = world.members.duty(vm, domain);
        if duty != *world.duty {
            log::info!(target: "peers", duty:? = duty, before:? = world.duty,
                entries = world.members.len(); "duty among the entries changed");
            world.duty = Arc::new(duty);
            cx.changed = true;
        }
    }
}
