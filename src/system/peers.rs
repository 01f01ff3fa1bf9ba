//! Chooses the entries to which this entry keeps connections.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::control;
use crate::fleet;
use crate::ids;
use crate::system::subset;

/// Connections to other entries, two in each of 8 failure domains. What an
/// entry tells reaches 360 entries in three steps; 359 connections would take
/// far more than the budget by their keep-alive packets alone.
const MAX_PEERS: usize = 16;

/// Runs the system, after each change of the platform's list.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let listed = |event| matches!(event, &control::Event::Inventory(_));
    if !cx.events.iter().any(listed) {
        return;
    }
    let wanted = wanted(world);
    for (vm, addr) in &wanted {
        if world.peers.get(vm) != Some(addr) {
            cx.effects.push(control::Effect::Connect {
                vm: vm.clone(),
                addr: *addr,
                role: fleet::NodeRole::Entry,
            });
        }
    }
    for vm in world.peers.keys() {
        if !wanted.contains_key(vm) {
            if let Some(row) = world.entries.by_name_mut(vm) {
                row.link = None;
            }
            cx.effects.push(control::Effect::Disconnect(vm.clone()));
        }
    }
    world.peers = wanted;
}

fn wanted(world: &control::World) -> HashMap<ids::VmName, SocketAddr> {
    let rows = world.entries.iter();
    let nodes = rows.map(|(_, row)| (&row.vm, &row.domain)).collect();
    subset::choose(&world.me.vm, nodes, MAX_PEERS)
        .into_iter()
        .filter_map(|vm| {
            let addr = world.entries.by_name(&vm)?.addr;
            Some((vm, addr))
        })
        .collect()
}
