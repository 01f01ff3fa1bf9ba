//! System that applies the rollout reports in the store, written by any entry.

use crate::direct;
use crate::direct::system::TickCx;
use crate::rollout;

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
    if batch.scope.reaches_all_keys() {
        world.reports.clear();
    }
    if batch.scope == direct::Scope::Restored {
        // Their records may be lost as well; stages are reported again as they are missing.
        for row in world.rollouts.values_mut() {
            row.shared = direct::Tallies::default();
        }
    }
    for report in &batch.items {
        withdraw_versions(world, cx, report);
        world.reports.insert(report.service.clone(), report.clone());
    }
    cx.changed |= world.reports_end.is_none();
    world.reports_end = Some(batch.end);
}

/// Keeps the versions out of use that other entries know to have been rolled back, before
/// this process started or read the order.
fn withdraw_versions(world: &mut direct::World, cx: &mut TickCx, report: &direct::RolloutReport) {
    let service = &report.service;
    let is_rolled_back = report.stage == rollout::Stage::RolledBack;
    let rolled_back = is_rolled_back.then_some(&report.target);
    for version in report.withdrawn.iter().chain(rolled_back) {
        let order = world.rollouts.get(service).map(|row| &row.order);
        if order.is_none_or(|order| order.target != *version)
            && world.withdrawn.withdraw(service, version)
        {
            log::info!(target: "rollout", service:% = service, version:% = version;
                "version stays out of use, it was rolled back by an earlier order");
            cx.changed = true;
        }
    }
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
