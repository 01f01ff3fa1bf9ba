//! Keeps the requests whose endpoints have crashed.

use std::sync::Arc;

use crate::direct;
use crate::direct::system::TickCx;

/// Applies crashes and answers of this tick, and tells other entries.
pub fn run(world: &mut direct::World, cx: &mut TickCx) {
    let mut suspects = (*world.suspects).clone();
    let was_empty = suspects.is_empty();
    let mut told = suspects.expire(cx.now);
    let mut has_changed = !told.is_empty();
    for event in &cx.events {
        match event {
            direct::Event::Crashed {
                fingerprint,
                endpoint,
            } => {
                suspects.crashed(*fingerprint, endpoint.clone(), cx.now);
                log::warn!(target: "suspects", fingerprint:% = fingerprint, endpoint:% = endpoint,
                    refused = suspects.is_refused(*fingerprint);
                    "endpoint crashed under a request");
                has_changed = true;
            }
            direct::Event::Cleared(fingerprint) => {
                told.extend(suspects.answered(*fingerprint));
                has_changed = true;
            }
            direct::Event::CrashReports(reports) => {
                for report in reports {
                    suspects.reported(report, cx.now);
                    log::info!(target: "suspects", fingerprint:% = report.fingerprint,
                        endpoints = report.endpoints.len(),
                        refused = suspects.is_refused(report.fingerprint);
                        "crashes on record");
                }
                has_changed = true;
            }
            _ => {}
        }
    }
    if !has_changed && was_empty {
        return;
    }
    told.extend(suspects.take_untold());
    cx.effects
        .extend(told.into_iter().map(direct::Effect::TellCrashes));
    if has_changed {
        world.suspects = Arc::new(suspects);
        cx.changed = true;
    }
}
