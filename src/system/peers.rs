//! Selects the other entries to which this entry keeps connections.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::control;
use crate::fleet;
use crate::ids;
use crate::system::subset;

/// Maximum number of connections to other entries, two in each of 8 failure
/// domains. An update reaches 360 entries in three hops; the keep-alive packets
/// of 359 connections alone would far exceed the budget.
const MAX_PEERS: usize = 16;

/// After each change of the platform's list, connects to the selected entries
/// and disconnects from the others.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let is_inventory = |event| matches!(event, &control::Event::Inventory(_));
    if !cx.events.iter().any(is_inventory) {
        return;
    }
    let selected = select_peers(world);
    for (vm, addr) in &selected {
        if world.peers.get(vm) != Some(addr) {
            cx.effects.push(control::Effect::Connect {
                vm: vm.clone(),
                addr: *addr,
                role: fleet::NodeRole::Entry,
            });
        }
    }
    for vm in world.peers.keys() {
        if !selected.contains_key(vm) {
            if let Some(row) = world.entries.by_name_mut(vm) {
                row.link = None;
            }
            cx.effects.push(control::Effect::Disconnect(vm.clone()));
        }
    }
    world.peers = selected;
}

fn select_peers(world: &control::World) -> HashMap<ids::VmName, SocketAddr> {
    let rows = world.entries.iter();
    let nodes = rows.map(|(_, row)| (&row.vm, &row.domain)).collect();
    subset::choose(&world.identity.vm, nodes, MAX_PEERS)
        .into_iter()
        .filter_map(|vm| {
            let addr = world.entries.by_name(&vm)?.addr;
            Some((vm, addr))
        })
        .collect()
}
