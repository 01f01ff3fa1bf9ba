//! Notifies sidecars whether the platform's list has their VM as leaving.
//!
//! Entries read the list anyway and send a two-byte update when a report differs
//! from it. If sidecars read the list themselves, 960 VMs of 150 B each every
//! 5 s would take 29 KB/s per node, over the control budget of 20 KB/s.

use crate::control;
use crate::ids;
use crate::platform_clients;
use crate::wire;

/// On an entry, sends the leaving state to each sidecar whose report differs
/// from the list. Repeats with each report until the sidecar agrees, so lost
/// updates and restarts of either process need no handling.
pub fn notify_sidecars(world: &mut control::World, cx: &mut control::TickCx) {
    for event in &cx.events {
        let control::Event::Report(vm, report) = event else {
            continue;
        };
        let Some(row) = world.endpoints.by_name(vm) else {
            continue;
        };
        let leaving = row.state == platform_clients::VmState::Leaving;
        if report.leaving != leaving {
            let update = wire::Update::Leaving(leaving);
            cx.effects.push(control::Effect::Send(vm.clone(), update));
        }
    }
}

/// On a sidecar, keeps the entries that report its VM as leaving. One is enough
/// for the VM to count as leaving, as others may still read an older list.
pub fn follow_entries(world: &mut control::World, cx: &mut control::TickCx) {
    let before = world.leaving_reported_by.len();
    for event in &cx.events {
        match event {
            control::Event::Leaving(entry, true) => {
                world.leaving_reported_by.insert(entry.clone());
            }
            // A disconnected entry could no longer withdraw its notification.
            control::Event::Leaving(entry, false) | control::Event::LinkDown(entry) => {
                world.leaving_reported_by.remove(entry);
            }
            _ => {}
        }
    }
    report_change(world, cx, before);
}

fn report_change(world: &control::World, cx: &mut control::TickCx, before: usize) {
    let after = world.leaving_reported_by.len();
    cx.changed |= before != after;
    let entries: Vec<&str> = world
        .leaving_reported_by
        .iter()
        .map(ids::VmName::as_str)
        .collect();
    if before == 0 && after > 0 {
        log::info!(
            "admit: the VM is leaving according to {}; accepting no new work.",
            entries.join(", ")
        );
    } else if before > 0 && after == 0 {
        log::info!("admit: the VM is no longer leaving.");
    }
}
