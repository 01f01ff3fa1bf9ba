//! Status of the system as this entry sees it.

use serde_json::{Value, json};

use crate::admin::submit;
use crate::catalog;
use crate::control;
use crate::ids;
use crate::rollout;

/// Returns the status as JSON: endpoints, entries and rollouts, with the state of this entry.
pub async fn read(control: &control::Control, vm: &ids::VmName) -> Value {
    let snapshot = control.snapshot();
    let (tx, rx) = smol::channel::bounded(1);
    control.send(control::Event::ReadEntries(tx)).await;
    let rows = rx.recv().await.unwrap_or_default();
    let catalog = submit::read_catalog(control).await.unwrap_or_default();
    let rollouts: Vec<Value> = catalog
        .iter()
        .filter_map(|(id, _, object)| match object {
            catalog::Object::Rollout(plan) => Some(rollout(&snapshot, &id.name, plan)),
            _ => None,
        })
        .collect();
    let endpoints: Vec<Value> = snapshot.endpoints.values().map(endpoint).collect();
    let mut entries = vec![json!({ "vm": vm, "config": snapshot.config, "connected": true })];
    entries.extend(rows.iter().filter(|row| row.vm != *vm).map(entry));
    json!({
        "vm": vm,
        "phase": snapshot.phase.to_string(),
        "self_out": snapshot.self_out_of_service,
        "log_available": snapshot.log_available,
        "config": snapshot.config,
        "endpoints": endpoints,
        "entries": entries,
        "rollouts": rollouts,
    })
}

/// Returns the row of a rollout; its state is `inactive` until the profile lists the version.
fn rollout(snapshot: &control::Snapshot, name: &str, plan: &catalog::RolloutPlan) -> Value {
    let view = snapshot.profiles.get(&plan.profile);
    let entering = view.and_then(|view| {
        let mut rollouts = view.rollouts.iter();
        rollouts.find(|rollout| rollout.version.name == plan.version)
    });
    let listed = view.is_some_and(|view| view.profile.versions.contains(&plan.version));
    let progress = snapshot
        .rollouts
        .get(name)
        .filter(|row| row.matches_plan(plan));
    let state = match progress {
        Some(rollout::Progress::Complete(_)) => "complete",
        Some(rollout::Progress::Stopped(_)) => "stopped",
        _ if !listed => "inactive",
        _ if plan.paused => "paused",
        Some(rollout::Progress::Stepping(_)) => "stepping",
        Some(rollout::Progress::Loading(_)) | None => "loading",
    };
    json!({
        "name": name,
        "profile": plan.profile,
        "version": plan.version,
        "state": state,
        "share": entering.map(|rollout| rollout.share),
    })
}

fn endpoint(view: &control::EndpointView) -> Value {
    json!({
        "vm": view.vm,
        "domain": view.domain,
        "region": view.region,
        "versions": view.report.versions,
        "service": view.report.service,
        "warmth": view.report.warmth,
        "running": view.report.running,
        "queued": view.report.queued,
        "limit": view.report.limit,
        "accepting": view.report.accepting,
        "config": view.report.config,
    })
}

fn entry(row: &control::EntryRow) -> Value {
    let member = row.member.as_ref();
    json!({
        "vm": row.vm,
        "domain": row.domain,
        "state": row.state,
        "connected": row.link.is_some(),
        "config": member.and_then(|member| member.config),
        "endpoints": member.map(|member| member.endpoints),
        "endpoints_config": member.and_then(|member| member.endpoints_config),
    })
}
