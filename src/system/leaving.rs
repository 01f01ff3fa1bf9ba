//! Tells the process beside an endpoint whether the platform's list has its VM as leaving.
//!
//! Entries read the list anyway and tell with two bytes where a report
//! differs from it. If sidecars read it themselves, 960 VMs of 150 B each
//! every 5 s would be 29 KB/s per node, over the control budget of 20 KB/s.

use crate::control;
use crate::ids;
use crate::services;
use crate::wire;

/// Runs the system on an entry. It repeats with each report until the
/// endpoint agrees, so a lost update or a new run of either side needs no care.
pub fn tell(world: &mut control::World, cx: &mut control::TickCx) {
    for event in &cx.events {
        let control::Event::Report(vm, report) = event else {
            continue;
        };
        let Some(row) = world.endpoints.by_name(vm) else {
            continue;
        };
        let leaving = row.state == services::VmState::Leaving;
        if report.leaving != leaving {
            let update = wire::Update::Leaving(leaving);
            cx.effects.push(control::Effect::Send(vm.clone(), update));
        }
    }
}

/// Runs the system on a sidecar. One entry is enough: another may still read
/// an older list.
pub fn learn(world: &mut control::World, cx: &mut control::TickCx) {
    let before = world.leaving_by.len();
    for event in &cx.events {
        match event {
            control::Event::Leaving(entry, true) => {
                world.leaving_by.insert(entry.clone());
            }
            // An entry that is gone can no longer take its word back.
            control::Event::Leaving(entry, false) | control::Event::LinkDown(entry) => {
                world.leaving_by.remove(entry);
            }
            _ => {}
        }
    }
    note(world, cx, before);
}

fn note(world: &control::World, cx: &mut control::TickCx, before: usize) {
    let after = world.leaving_by.len();
    cx.changed |= before != after;
    let entries: Vec<&str> = world.leaving_by.iter().map(ids::VmName::as_str).collect();
    if before == 0 && after > 0 {
        log::info!(
            "admit: the VM is leaving according to {}, no new work.",
            entries.join(", ")
        );
    } else if before > 0 && after == 0 {
        log::info!("admit: the VM is no longer leaving.");
    }
}
