//! System that advances rollouts and requests their reports.

use std::time::Duration;

use crate::direct;
use crate::direct::system::TickCx;
use crate::ids;
use crate::observe;
use crate::rollout;

/// Interval between attempts to write a report.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which the full stage must be recorded before an entry completes a
/// rollout. Another entry that has found the version bad needs a read and a
/// write to report it, also right after an outage of the store.
const OBJECTION_PERIOD: Duration = Duration::from_millis(700);
/// Minimum number of endpoints of the new version, relative to those of other
/// versions, before traffic moves to it.
const MIN_ENDPOINT_RATIO: f64 = 0.6;

/// Minimum time between two log lines on the evidence of a rollout, while its verdict stays
/// the same.
const EVIDENCE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two evaluations of a completed rollout, which only the log needs.
const COMPLETED_EVALUATION_INTERVAL: Duration = Duration::from_secs(2);

/// Advances rollouts by their evidence until their end is recorded, and requests a
/// report of each new stage.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let mut rollouts = std::mem::take(&mut world.rollouts);
    for (service, row) in &mut rollouts {
        match row.recorded {
            Some(rollout::Stage::RolledBack) => {}
            Some(rollout::Stage::Completed) => {
                if cx.now.saturating_since(row.evaluated_at) >= COMPLETED_EVALUATION_INTERVAL {
                    evaluate(cx, service, row);
                }
            }
            _ => {
                let comparison = evaluate(cx, service, row);
                advance(world, cx, service, row, &comparison);
                request_report(world, cx, service, row);
            }
        }
    }
    world.rollouts = rollouts;
}

/// Compares the versions by the results of all entries, and logs what has changed.
fn evaluate(
    cx: &TickCx,
    service: &ids::ServiceName,
    row: &mut direct::RolloutRow,
) -> rollout::Comparison {
    let mut tallies = row.evidence.tallies();
    tallies.merge(&row.peers.tallies);
    let comparison = tallies.compare(&row.order.target);
    let verdict = comparison.verdict();
    row.evaluated_at = cx.now;
    let counts = (comparison.attempts(), comparison.failures());
    let has_changed = verdict != row.verdict;
    let is_due = cx.now.saturating_since(row.logged_at) >= EVIDENCE_LOG_INTERVAL;
    if has_changed || (is_due && counts != row.logged) {
        let peers_age = row.peers.read_at.map(|at| cx.now.saturating_since(at));
        log::info!(target: "rollout", service:% = service, target_version:% = row.order.target,
            stage:% = row.canary.stage(cx.now), attempts = counts.0, failures = counts.1,
            usual_failures:% = format_args!("{:.4}", comparison.usual_failure_fraction()),
            slow = comparison.slow(), failing:% = comparison.failing(),
            slowness:% = comparison.slowness(), verdict:% = verdict, peers = row.peers.entries,
            peers_age_ms = peers_age.map(|age| age.as_millis()); "rollout evidence");
        row.logged = counts;
        row.logged_at = cx.now;
    }
    if has_changed {
        observe::metrics().record_rollout_verdict(service, verdict.into());
        if verdict == rollout::Verdict::Bad && row.recorded == Some(rollout::Stage::Completed) {
            log::error!(target: "rollout", service:% = service, target_version:% = row.order.target;
                "the version is bad, but its rollout is complete and the old version gone");
        }
        row.verdict = verdict;
    }
    comparison
}

fn advance(
    world: &direct::World,
    cx: &mut TickCx,
    service: &ids::ServiceName,
    row: &mut direct::RolloutRow,
    comparison: &rollout::Comparison,
) {
    let observation = rollout::Observation {
        now: cx.now,
        verdict: row.verdict,
        enough_endpoints: has_enough_endpoints(world, service, &row.order.target),
        objection_time_passed: row.recorded == Some(rollout::Stage::Full)
            && cx.now.saturating_since(row.recorded_at) >= OBJECTION_PERIOD,
    };
    let next = row.canary.clone().advance(observation);
    if next != row.canary {
        log::info!(target: "rollout", service:% = service, target_version:% = row.order.target,
            runs = comparison.attempts(), failures = comparison.failures(),
            bad = row.verdict == rollout::Verdict::Bad, verdict:% = row.verdict,
            share:% = next.share(cx.now); "rollout advanced");
        row.canary = next;
        row.report_requested_at = None;
        cx.changed = true;
    }
}

fn has_enough_endpoints(
    world: &direct::World,
    service: &ids::ServiceName,
    target: &ids::VersionName,
) -> bool {
    let (mut target_count, mut other_count) = (0_u32, 0_u32);
    for (_, row) in world.endpoints.iter() {
        let record = &row.record;
        let is_withdrawn = world.withdrawn.contains(service, &record.version);
        if record.service != *service || record.draining || is_withdrawn {
            continue;
        }
        if record.version == *target {
            target_count += 1;
        } else {
            other_count += 1;
        }
    }
    target_count > 0 && f64::from(target_count) >= f64::from(other_count) * MIN_ENDPOINT_RATIO
}

fn request_report(
    world: &direct::World,
    cx: &mut TickCx,
    service: &ids::ServiceName,
    row: &mut direct::RolloutRow,
) {
    let stage = row.canary.stage(cx.now);
    let Some(end) = world.reports_end else { return };
    let is_pending = row
        .report_requested_at
        .is_some_and(|requested_at| cx.now.saturating_since(requested_at) < REPORT_RETRY_INTERVAL);
    if row.recorded >= Some(stage) || is_pending {
        return;
    }
    row.report_requested_at = Some(cx.now);
    let report = direct::RolloutReport {
        service: service.clone(),
        target: row.order.target.clone(),
        stage,
        withdrawn: world.withdrawn.of(service),
    };
    cx.effects.push(direct::Effect::Report(report, end));
}
