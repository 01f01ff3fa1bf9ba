//! Appends collected ratings to the `evidence` stream.

use std::sync::Arc;

use serde_json::Value;
use smol::Timer;

use crate::entry::cx;
use crate::estimate;
use crate::platform;

/// Appends an evidence record at each flush interval if there is anything new; never
/// returns.
pub async fn run(cx: cx::Shared, log: platform::LogClient) {
    let mut appender = platform::Appender::new(log, platform::Stream::Evidence);
    let mut pending = None;
    loop {
        Timer::after(cx.cfg.evidence_flush_ms.duration()).await;
        // A record keeps its sequence number until it is durable, so that a repeated
        // append is recognised.
        let next = pending
            .take()
            .or_else(|| cx.ratings.take(answers_by_rollout(&cx)));
        let Some(evidence) = next else { continue };
        if let Err(err) = append(&mut appender, &evidence).await {
            log::warn!("route: evidence record not appended, will be retried: {err}.");
            pending = Some(evidence);
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
    let own_id = identity(&record);
    let is_own = |record: &Value| (identity(record) == own_id).then_some(());
    if !appender.reconcile(is_own).await?.is_empty() {
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

/// Returns the answers that each rollout has used up in this incarnation.
fn answers_by_rollout(cx: &cx::Shared) -> Vec<(Arc<str>, u64)> {
    let snapshot = cx.control.snapshot();
    let rollouts = snapshot
        .profiles
        .values()
        .flat_map(|profile| &profile.rollouts);
    rollouts
        .map(|rollout| (Arc::clone(&rollout.name), rollout.allotment.answers_used()))
        .collect()
}
