//! Applies reports of roll-outs that are on record, by whichever entry.

use crate::direct;
use crate::direct::system::TickCx;

/// Applies the reports of this tick.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let events = std::mem::take(&mut cx.events);
    for event in &events {
        match event {
            direct::Event::Reports(batch) => apply(world, cx, batch),
            direct::Event::Reported {
                report,
                done: false,
            } => {
                if let Some(row) = world.rollouts.get_mut(&report.service) {
                    row.asked = Some(cx.now);
                }
            }
            _ => {}
        }
    }
    cx.events = events;
    settle(world, cx);
}

fn apply(world: &mut direct::World, cx: &mut TickCx, batch: &direct::Batch<direct::RolloutReport>) {
    world.store_answered(direct::Source::Reports, cx.now);
    if batch.whole {
        world.reports.clear();
    }
    for report in &batch.items {
        world.reports.insert(report.service.clone(), report.clone());
    }
    cx.changed |= world.reports_end.is_none();
    world.reports_end = Some(batch.end);
}

/// What is on record decides, also against this entry's own view.
fn settle(world: &mut direct::World, cx: &mut TickCx) {
    for (service, row) in &mut world.rollouts {
        let on_record = world
            .reports
            .get(service)
            .filter(|report| report.target == row.order.target)
            .map(|report| report.stage);
        if row.reported == on_record {
            continue;
        }
        row.reported = on_record;
        row.reported_at = cx.now;
        let Some(stage) = on_record else { continue };
        let settled = row.canary.clone().settle(stage, cx.now);
        if settled != row.canary {
            log::info!(target: "rollout", service:% = service, target_version:% = row.order.target,
                stage:% = stage; "roll-out moves on as reported by another entry");
            row.canary = settled;
            cx.changed = true;
        }
    }
}
