//! Records crashes in the ledger and maintains the quarantine of suspect requests.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use crate::control;
use crate::fleet;
use crate::ledger;
use crate::poison;

/// Counts crashes, requests their records and clears requests that were answered.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    count_reported(world, cx);
    if cx.ledger_changed {
        sync_with_ledger(world, cx);
    }
    append_unrecorded(world, cx);
    clear_completed(world, cx);
}

/// Counts new crashes immediately, even while the log is unavailable, and keeps
/// them until they are in the ledger.
fn count_reported(world: &mut control::World, cx: &mut control::TickCx) {
    for event in &cx.events {
        if let control::Event::Crash(report) = event
            && !world.ledger.has_crash(report)
            && !world.unrecorded_crashes.contains(report)
        {
            log::warn!(
                "control: endpoint {} crashed with {} requests in flight.",
                report.vm,
                report.in_flight.len()
            );
            world.unrecorded_crashes.push(report.clone());
            let (quarantine, counted) = (&mut world.quarantine, &mut world.counted_crashes);
            count_crash(quarantine, counted, report, cx.now);
            cx.changed = true;
        }
    }
}

/// On an entry, requests the append of unrecorded crashes. A sidecar sends them
/// to its entries instead.
fn append_unrecorded(world: &mut control::World, cx: &mut control::TickCx) {
    if world.identity.role != fleet::NodeRole::Entry || !world.ledger.is_caught_up() {
        return;
    }
    for report in &world.unrecorded_crashes {
        let body = ledger::Body::Crash(report.clone());
        world
            .driver
            .request_append(cx, world.ledger.next_offset(), body);
    }
}

/// Counts a crash against its requests, once even if it is reported or recorded repeatedly.
fn count_crash(
    quarantine: &mut Arc<poison::Quarantine>,
    counted: &mut HashSet<fleet::CrashId>,
    report: &fleet::CrashReport,
    now: Instant,
) {
    if counted.insert(report.id()) {
        let fingerprints = report.in_flight.iter().map(|(_, fingerprint)| *fingerprint);
        Arc::make_mut(quarantine).count_crash(fingerprints, now);
    }
}

fn sync_with_ledger(world: &mut control::World, cx: &mut control::TickCx) {
    let control::World {
        ledger,
        quarantine,
        counted_crashes,
        unrecorded_crashes,
        ..
    } = world;
    let recorded = &ledger.state().crashes;
    for report in recorded {
        count_crash(quarantine, counted_crashes, report, cx.now);
    }
    let recorded_ids: HashSet<fleet::CrashId> =
        recorded.iter().map(fleet::CrashReport::id).collect();
    unrecorded_crashes.retain(|report| !recorded_ids.contains(&report.id()));
    let is_unrecorded =
        |id: &fleet::CrashId| unrecorded_crashes.iter().any(|report| report.id() == *id);
    counted_crashes.retain(|id| recorded_ids.contains(id) || is_unrecorded(id));
    cx.changed = true;
}

fn clear_completed(world: &mut control::World, cx: &mut control::TickCx) {
    if world.quarantine.is_empty() {
        return;
    }
    let quarantine = Arc::make_mut(&mut world.quarantine);
    for event in &cx.events {
        if let control::Event::RequestAnswered(fingerprint) = event {
            quarantine.completed(*fingerprint);
            cx.changed = true;
        }
    }
    cx.changed |= quarantine.expire(cx.now);
}
