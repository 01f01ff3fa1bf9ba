//! Measures the encoded size of messages and records.

use std::time::Instant;

use crate::bench;
use crate::bench::synthetic;
use crate::catalog;
use crate::fleet;
use crate::ids;
use crate::wire;

/// Sizes in bytes, unless the name of the field states another unit.
#[derive(Debug, serde::Serialize)]
pub struct MessageSizes {
    /// An endpoint's report, with its length prefix.
    report: usize,
    /// One membership row, with its length prefix.
    member: usize,
    /// The membership rows of all entries in one message.
    all_members: usize,
    /// The offsets that a process has applied, with their length prefix.
    applied: usize,
    /// The platform's list of VMs as JSON.
    vm_list: usize,
    /// Number of configuration objects.
    objects: usize,
    /// Mean size of a configuration record as JSON.
    change_mean: usize,
    /// The configuration checkpoint as JSON.
    checkpoint: usize,
    /// An evidence record without cells, as JSON.
    evidence: usize,
    /// Mean time to apply one configuration change, in microseconds.
    apply_us: f64,
    /// Time to decode and apply the checkpoint, in microseconds.
    checkpoint_us: f64,
}

/// Returns the encoded size of an update with its 4-byte length prefix.
fn frame_len(update: &wire::Update) -> Result<usize, bench::BenchError> {
    Ok(postcard::to_stdvec(update)?.len() + 4)
}

/// Encodes the messages and records of a fleet with this many entries and endpoints.
pub fn run(entries: usize, endpoints: usize) -> Result<MessageSizes, bench::BenchError> {
    let members: Vec<fleet::Member> = (0..entries)
        .map(synthetic::member)
        .collect::<Result<_, _>>()?;
    let records = synthetic::records()?;
    let mut change_bytes = 0;
    for record in &records {
        change_bytes += serde_json::to_string(&record.body)?.len();
    }
    let mut catalog = catalog::Catalog::default();
    let start = Instant::now();
    for record in &records {
        catalog.apply(record);
    }
    let apply = start.elapsed() / u32::try_from(records.len())?;
    let checkpoint = catalog.checkpoint().map(catalog::Body::Checkpoint);
    let checkpoint = serde_json::to_string(&checkpoint)?;
    let start = Instant::now();
    let decoded: Option<catalog::Body> = serde_json::from_str(&checkpoint)?;
    if let Some(catalog::Body::Checkpoint(checkpoint)) = &decoded {
        catalog::Catalog::default().apply_checkpoint(checkpoint);
    }
    let restore = start.elapsed();
    let offset = Some(ids::Offset(9_000_000));
    let evidence = serde_json::json!({
        "entry": members[0].vm, "incarnation": members[0].incarnation, "sequence": 1, "cells": [], "spent": [],
    });
    Ok(MessageSizes {
        report: frame_len(&wire::Update::Report(synthetic::report(0)?))?,
        member: frame_len(&wire::Update::Members(members[..1].to_vec()))?,
        all_members: frame_len(&wire::Update::Members(members))?,
        applied: frame_len(&wire::Update::Applied {
            config: offset,
            control: offset,
        })?,
        vm_list: serde_json::to_string(&synthetic::list(entries, endpoints)?)?.len(),
        objects: records.len(),
        change_mean: change_bytes / records.len(),
        checkpoint: checkpoint.len(),
        evidence: evidence.to_string().len(),
        apply_us: apply.as_secs_f64() * 1e6,
        checkpoint_us: restore.as_secs_f64() * 1e6,
    })
}
