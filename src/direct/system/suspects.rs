//! System that tracks requests suspected of crashing endpoints.

use std::sync::Arc;

use crate::direct;
use crate::direct::system::TickCx;
use crate::poison;

/// Applies the crashes and answers of this tick and publishes what changed to other entries.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let is_relevant = |event: &direct::Event| {
        matches!(
            event,
            direct::Event::Crashed { .. }
                | direct::Event::SuspectUnanswered(_)
                | direct::Event::SuspectCleared(_)
                | direct::Event::SuspectRefused(_)
                | direct::Event::CrashReports(_)
                | direct::Event::CrashReportsLost(_)
        ) || is_restored(event)
    };
    let is_due = world.suspects.has_expired(cx.now) || world.suspects.has_unpublished(cx.now);
    if !is_due && !cx.events.iter().any(is_relevant) {
        return;
    }
    let suspects = Arc::make_mut(&mut world.suspects);
    let mut reports = suspects.expire(cx.now);
    for event in &cx.events {
        reports.extend(apply(suspects, event, cx));
    }
    reports.extend(suspects.take_unpublished(cx.now));
    if !reports.is_empty() {
        cx.effects.push(direct::Effect::PublishCrashes(reports));
    }
    cx.changed = true;
}

/// Returns a report that must be published at once, if there is one.
fn apply(
    suspects: &mut poison::Suspects,
    event: &direct::Event,
    cx: &TickCx,
) -> Option<poison::CrashReport> {
    match event {
        direct::Event::Crashed {
            subject,
            fingerprint,
            endpoint,
            stage,
        } => {
            suspects.crashed(*fingerprint, endpoint.clone(), *stage, cx.now);
            log::warn!(target: "suspects", subject:% = subject, fingerprint:% = fingerprint,
                endpoint:% = endpoint, visit:% = stage, refused = suspects.is_refused(*fingerprint);
                "endpoint crashed under a request");
            None
        }
        direct::Event::SuspectUnanswered(fingerprints) => {
            for fingerprint in fingerprints {
                suspects.unanswered(*fingerprint);
            }
            None
        }
        direct::Event::CrashReportsLost(fingerprints) => {
            for fingerprint in fingerprints {
                suspects.record_lost(*fingerprint, cx.now);
            }
            None
        }
        direct::Event::SuspectRefused(fingerprint) => {
            suspects.refused(*fingerprint, cx.now);
            None
        }
        direct::Event::SuspectCleared(fingerprint) => suspects.answered(*fingerprint),
        event if is_restored(event) => {
            suspects.forget_published();
            None
        }
        direct::Event::CrashReports(reports) => {
            for report in reports {
                suspects.reported(report, cx.now);
                log::info!(target: "suspects", fingerprint:% = report.fingerprint,
                    endpoints = report.endpoints.len(),
                    refused = suspects.is_refused(report.fingerprint);
                    "crash report received");
            }
            None
        }
        _ => None,
    }
}

/// Whether the reports in the store are those of an older copy.
fn is_restored(event: &direct::Event) -> bool {
    matches!(event, direct::Event::Reports(batch) if batch.scope == direct::Scope::Restored)
}
