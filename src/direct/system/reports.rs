//! System that applies the rollout reports in the store, written by any entry.

use crate::direct;
use crate::direct::system::TickCx;

/// Applies the reports of this tick and adopts the stages in them.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let events = std::mem::take(&mut cx.events);
    for event in &events {
        match event {
            direct::Event::Reports(batch) => apply(world, cx, batch),
            direct::Event::ReportAttempted {
                report,
                written: false,
            } => {
                if let Some(row) = world.rollouts.get_mut(&report.service) {
                    row.report_requested_at = Some(cx.now);
                }
            }
            _ => {}
        }
    }
    cx.events = events;
    adopt_recorded_stages(world, cx);
}

fn apply(world: &mut direct::World, cx: &mut TickCx, batch: &direct::Batch<direct::RolloutReport>) {
    world.record_read(direct::Source::Reports, cx.now);
    if batch.complete {
        world.reports.clear();
    }
    for report in &batch.items {
        world.reports.insert(report.service.clone(), report.clone());
    }
    cx.changed |= world.reports_end.is_none();
    world.reports_end = Some(batch.end);
}

/// Adopts the recorded stages, which take precedence over this entry's own view.
fn adopt_recorded_stages(world: &mut direct::World, cx: &mut TickCx) {
    for (service, row) in &mut world.rollouts {
        let recorded = world
            .reports
            .get(service)
            .filter(|report| report.target == row.order.target)
            .map(|report| report.stage);
        if row.recorded == recorded {
            continue;
        }
        row.recorded = recorded;
        row.recorded_at = cx.now;
        let Some(stage) = recorded else { continue };
        let updated = row.canary.clone().adopt_reported_stage(stage, cx.now);
        if updated != row.canary {
            log::info!(target: "rollout", service:% = service, target_version:% = row.order.target,
                stage:% = stage; "rollout stage adopted from a report in the store");
            row.canary = updated;
            cx.changed = true;
        }
    }
}
