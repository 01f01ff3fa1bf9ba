//! Puts crashes on record and keeps the requests that are under suspicion.

use std::collections::HashSet;
use std::sync::Arc;

use crate::control;
use crate::fleet;
use crate::ledger;

/// Runs the system.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    note(world, cx);
    if cx.ledger_changed {
        count(world, cx);
    }
    record(world, cx);
    clear(world, cx);
}

/// Keeps new crashes until they are on record.
fn note(world: &mut control::World, cx: &mut control::TickCx) {
    for event in &cx.events {
        if let control::Event::Crash(report) = event
            && !world.ledger.has_crash(report)
            && !world.unrecorded.contains(report)
        {
            log::warn!(
                "control: endpoint {} died with {} requests.",
                report.vm,
                report.in_flight.len()
            );
            world.unrecorded.push(report.clone());
            cx.changed = true;
        }
    }
}

/// An entry appends; a process beside an endpoint tells its entries instead.
fn record(world: &mut control::World, cx: &mut control::TickCx) {
    if world.me.role != fleet::NodeRole::Entry || !world.ledger.is_caught_up() {
        return;
    }
    for report in &world.unrecorded {
        let body = ledger::Body::Crash(report.clone());
        world.driver.ask(cx, world.ledger.next_offset(), body);
    }
}

fn count(world: &mut control::World, cx: &mut control::TickCx) {
    let crashes = &world.ledger.state().crashes;
    let quarantine = Arc::make_mut(&mut world.quarantine);
    for crash in crashes {
        if world.counted_crashes.insert(crash.id()) {
            let fingerprints = crash.in_flight.iter().map(|(_, fingerprint)| *fingerprint);
            quarantine.crashed(fingerprints, cx.now);
        }
    }
    let known: HashSet<fleet::Incident> = crashes.iter().map(fleet::CrashReport::id).collect();
    world.counted_crashes.retain(|id| known.contains(id));
    world
        .unrecorded
        .retain(|report| !known.contains(&report.id()));
    cx.changed = true;
}

fn clear(world: &mut control::World, cx: &mut control::TickCx) {
    if world.quarantine.is_empty() {
        return;
    }
    let quarantine = Arc::make_mut(&mut world.quarantine);
    for event in &cx.events {
        if let control::Event::Completed(fingerprint) = event {
            quarantine.completed(*fingerprint);
            cx.changed = true;
        }
    }
    cx.changed |= quarantine.expire(cx.now);
}
