//! Keeps the requests whose endpoints have crashed.

use std::sync::Arc;

use crate::direct;
use crate::direct::system::TickCx;
use crate::poison;

/// Applies crashes and answers of this tick, and tells other entries.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let concerns = |event: &direct::Event| {
        matches!(
            event,
            direct::Event::Crashed { .. }
                | direct::Event::Cleared(_)
                | direct::Event::CrashReports(_)
        )
    };
    if !cx.events.iter().any(concerns) && !world.suspects.has_old(cx.now) {
        return;
    }
    let suspects = Arc::make_mut(&mut world.suspects);
    let mut told = suspects.expire(cx.now);
    for event in &cx.events {
        told.extend(apply(suspects, event, cx));
    }
    told.extend(suspects.take_untold());
    cx.effects
        .extend(told.into_iter().map(direct::Effect::TellCrashes));
    cx.changed = true;
}

/// Returns what other entries must be told at once.
fn apply(
    suspects: &mut poison::Suspects,
    event: &direct::Event,
    cx: &TickCx,
) -> Option<poison::CrashReport> {
    match event {
        direct::Event::Crashed {
            fingerprint,
            endpoint,
        } => {
            suspects.crashed(*fingerprint, endpoint.clone(), cx.now);
            log::warn!(target: "suspects", fingerprint:% = fingerprint, endpoint:% = endpoint,
                refused = suspects.is_refused(*fingerprint);
                "endpoint crashed under a request");
            None
        }
        direct::Event::Cleared(fingerprint) => suspects.answered(*fingerprint),
        direct::Event::CrashReports(reports) => {
            for report in reports {
                suspects.reported(report, cx.now);
                log::info!(target: "suspects", fingerprint:% = report.fingerprint,
                    endpoints = report.endpoints.len(),
                    refused = suspects.is_refused(report.fingerprint);
                    "crashes on record");
            }
            None
        }
        _ => None,
    }
}
