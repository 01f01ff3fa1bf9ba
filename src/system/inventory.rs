//! Synchronizes the tables of endpoints and entries with the platform's list of VMs.

use std::collections::HashSet;

use crate::control;
use crate::fleet;
use crate::ids;
use crate::platform_clients;

/// Applies the latest VM list, and requests connections to new endpoints.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    let mut lists = cx.events.iter().filter_map(|event| match event {
        control::Event::Inventory(vms) => Some(vms),
        _ => None,
    });
    // Each list is complete, so only the last one of a tick matters.
    let Some(vms) = lists.next_back().cloned() else {
        return;
    };
    for vm in &vms {
        match vm.role {
            fleet::NodeRole::Sidecar => put_endpoint(world, cx, vm),
            fleet::NodeRole::Entry => put_entry(world, vm),
        }
    }
    let listed: HashSet<&ids::VmName> = vms.iter().map(|vm| &vm.vm).collect();
    world.entries.retain(|name, _| listed.contains(name));
    world.endpoints.retain(|name, row| {
        // A VM that is not listed but still connected may be missing only
        // because the list lags.
        let keep = listed.contains(name) || row.link.is_some();
        if !keep {
            cx.effects.push(control::Effect::Disconnect(name.clone()));
        }
        keep
    });
    cx.changed = true;
}

fn put_endpoint(world: &mut control::World, cx: &mut control::TickCx, vm: &platform_clients::Vm) {
    if let Some(row) = world.endpoints.by_name_mut(&vm.vm)
        && row.addr == vm.peer_addr
    {
        row.state = vm.state;
        return;
    }
    let row = control::EndpointRow::from_inventory(vm);
    world.endpoints.upsert(vm.vm.clone(), row);
    connect(cx, vm);
}

fn put_entry(world: &mut control::World, vm: &platform_clients::Vm) {
    if vm.vm == world.identity.vm {
        return;
    }
    if let Some(row) = world.entries.by_name_mut(&vm.vm)
        && row.addr == vm.peer_addr
    {
        row.state = vm.state;
        return;
    }
    let row = control::EntryRow::from_inventory(vm);
    world.entries.upsert(vm.vm.clone(), row);
}

fn connect(cx: &mut control::TickCx, vm: &platform_clients::Vm) {
    cx.effects.push(control::Effect::Connect {
        vm: vm.vm.clone(),
        addr: vm.peer_addr,
        role: vm.role,
    });
}
