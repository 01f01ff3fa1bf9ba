//! Puts crashes on record and keeps the requests that are under suspicion.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use crate::control;
use crate::fleet;
use crate::ledger;
use crate::poison;

/// Runs the system.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    note(world, cx);
    if cx.ledger_changed {
        follow_ledger(world, cx);
    }
    record(world, cx);
    clear(world, cx);
}

/// Counts new crashes at once, also while the log is away, and keeps them
/// until they are on record.
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
            let (quarantine, counted) = (&mut world.quarantine, &mut world.counted_crashes);
            count(quarantine, counted, report, cx.now);
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

/// Counts a crash, once however often it is reported or recorded.
fn count(
    quarantine: &mut Arc<poison::Quarantine>,
    counted: &mut HashSet<fleet::Incident>,
    report: &fleet::CrashReport,
    now: Instant,
) {
    if counted.insert(report.id()) {
        let fingerprints = report.in_flight.iter().map(|(_, fingerprint)| *fingerprint);
        Arc::make_mut(quarantine).crashed(fingerprints, now);
    }
}

fn follow_ledger(world: &mut control::World, cx: &mut control::TickCx) {
    let control::World {
        ledger,
        quarantine,
        counted_crashes,
        unrecorded,
        ..
    } = world;
    let recorded = &ledger.state().crashes;
    for report in recorded {
        count(quarantine, counted_crashes, report, cx.now);
    }
    let known: HashSet<fleet::Incident> = recorded.iter().map(fleet::CrashReport::id).collect();
    unrecorded.retain(|report| !known.contains(&report.id()));
    let waits = |id: &fleet::Incident| unrecorded.iter().any(|report| report.id() == *id);
    counted_crashes.retain(|id| known.contains(id) || waits(id));
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
