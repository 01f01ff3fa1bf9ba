//! State of the system as this entry sees it.

use serde_json::{Value, json};

use crate::control;
use crate::ids;

/// The status as JSON.
pub async fn read(control: &control::Control, vm: &ids::VmName) -> Value {
    let snapshot = control.snapshot();
    let (tx, rx) = smol::channel::bounded(1);
    control.send(control::Event::ReadEntries(tx)).await;
    let rows = rx.recv().await.unwrap_or_default();
    let endpoints: Vec<Value> = snapshot.endpoints.values().map(endpoint).collect();
    let mut entries = vec![json!({ "vm": vm, "config": snapshot.config, "connected": true })];
    entries.extend(rows.iter().filter(|row| row.vm != *vm).map(entry));
    json!({
        "vm": vm,
        "phase": snapshot.phase.to_string(),
        "self_out": snapshot.self_out,
        "log_available": snapshot.log_available,
        "config": snapshot.config,
        "endpoints": endpoints,
        "entries": entries,
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
