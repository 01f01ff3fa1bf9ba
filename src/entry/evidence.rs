//! Puts ratings on record.

use std::sync::Arc;

use serde_json::Value;
use smol::Timer;

use crate::entry::cx;
use crate::estimate;
use crate::platform;

/// Appends evidence at each interval.
pub async fn run(cx: cx::Shared, log: platform::LogClient) {
    let mut appender = platform::Appender::new(log, platform::Stream::Evidence);
    let mut waiting = None;
    loop {
        Timer::after(cx.cfg.evidence_flush_ms.duration()).await;
        // A record keeps its number until it is durable, so that a repeated
        // append is recognised.
        let next = waiting.take().or_else(|| cx.ratings.take(spent(&cx)));
        let Some(evidence) = next else { continue };
        if let Err(err) = append(&mut appender, &evidence).await {
            log::warn!("route: evidence waits: {err}.");
            waiting = Some(evidence);
        }
    }
}

async fn append(
    appender: &mut platform::Appender,
    evidence: &estimate::Evidence,
) -> Result<(), platform::PlatformError> {
    let Ok(record) = serde_json::to_value(evidence) else {
        return Ok(());
    };
    let own = identity(&record);
    let is_own = |record: &Value| (identity(record) == own).then_some(());
    if !appender.settle(is_own).await?.is_empty() {
        return Ok(());
    }
    appender.append(&[record]).await
}

fn identity(record: &Value) -> String {
    format!(
        "{} {} {}",
        record["entry"], record["incarnation"], record["sequence"]
    )
}

/// Answers drawn from each roll-out since the start of this run.
fn spent(cx: &cx::Shared) -> Vec<(Arc<str>, u64)> {
    let snapshot = cx.control.snapshot();
    let rollouts = snapshot
        .profiles
        .values()
        .flat_map(|profile| &profile.rollouts);
    rollouts
        .map(|rollout| (Arc::clone(&rollout.name), rollout.allotment.spent()))
        .collect()
}
