//! Advances roll-outs and asks for their reports.

use std::time::Duration;

use crate::direct;
use crate::direct::system::TickCx;
use crate::ids;
use crate::rollout;

/// Pause between tries to write a report.
const REPORT_PAUSE: Duration = Duration::from_millis(400);
/// Time for which the full stage is on record before an entry completes a
/// roll-out: another one that has found the version bad needs a read and a
/// write to say so, also right after the return of the store.
const OBJECTION_TIME: Duration = Duration::from_millis(700);
/// Part of the old version's endpoints that the new one must have before the
/// traffic moves.
const ENOUGH_ENDPOINTS: f64 = 0.6;

/// Judges each roll-out by its evidence and writes what has changed.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let mut rollouts = std::mem::take(&mut world.rollouts);
    for (service, row) in &mut rollouts {
        if !row.reported.is_some_and(rollout::Stage::is_over) {
            advance(world, cx, service, row);
            ask_report(world, cx, service, row);
        }
    }
    world.rollouts = rollouts;
}

fn advance(
    world: &direct::World,
    cx: &mut TickCx,
    service: &ids::ServiceName,
    row: &mut direct::RolloutRow,
) {
    let comparison = row.evidence.judge(&row.order.target);
    let seen = rollout::Observation {
        now: cx.now,
        bad: comparison.is_bad(),
        enough_endpoints: has_enough_endpoints(world, service, &row.order.target),
        unopposed: row.reported == Some(rollout::Stage::Full)
            && cx.now.since(row.reported_at) >= OBJECTION_TIME,
    };
    let next = row.canary.clone().advance(seen);
    if next != row.canary {
        log::info!(target: "rollout", service:% = service, target_version:% = row.order.target,
            runs = comparison.runs(), failures = comparison.failures(), bad = comparison.is_bad(),
            share:% = next.share(cx.now); "roll-out moves on");
        row.canary = next;
        row.asked = None;
        cx.changed = true;
    }
}

fn has_enough_endpoints(
    world: &direct::World,
    service: &ids::ServiceName,
    target: &ids::VersionName,
) -> bool {
    let (mut new, mut old) = (0_u32, 0_u32);
    for (_, row) in world.endpoints.iter() {
        if row.record.service != *service || row.record.draining {
            continue;
        }
        if row.record.version == *target {
            new += 1;
        } else {
            old += 1;
        }
    }
    new > 0 && f64::from(new) >= f64::from(old) * ENOUGH_ENDPOINTS
}

fn ask_report(
    world: &direct::World,
    cx: &mut TickCx,
    service: &ids::ServiceName,
    row: &mut direct::RolloutRow,
) {
    let stage = row.canary.stage(cx.now);
    let Some(end) = world.reports_end else { return };
    let waits = row
        .asked
        .is_some_and(|asked| cx.now.since(asked) < REPORT_PAUSE);
    if row.reported >= Some(stage) || waits {
        return;
    }
    row.asked = Some(cx.now);
    let report = direct::RolloutReport {
        service: service.clone(),
        target: row.order.target.clone(),
        stage,
    };
    cx.effects.push(direct::Effect::Report(report, end));
}
