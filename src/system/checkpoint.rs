//! Appends checkpoints before older records expire from the log.

use std::time::{Duration, Instant};

use crate::catalog;
use crate::control;
use crate::ids;
use crate::ledger;
use crate::platform;
use crate::replica;

/// Number of records since the last checkpoint after which the next is due.
const MAX_RECORDS_SINCE_CHECKPOINT: u64 = 1_000;
/// Age of the last checkpoint after which the next is due; a third of the
/// minimum log retention of one day.
const MAX_CHECKPOINT_AGE: Duration = Duration::from_hours(8);
/// Time after which a checkpoint that has not been read back is requested again.
const REQUEST_RETRY_DELAY: Duration = Duration::from_secs(30);

/// As lease holder, requests the checkpoints of `config` and `control` that are due.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    if world.lease.authority(cx.now).is_none() {
        world.driver.checkpoints = [None, None];
        return;
    }
    let [config, control] = &mut world.driver.checkpoints;
    if is_due(&world.catalog, config, cx.now)
        && let Some(checkpoint) = world.catalog.checkpoint()
    {
        log::info!(
            "catalog: appending a checkpoint up to offset {}.",
            checkpoint.covers
        );
        append_catalog(cx, world.catalog.next_offset(), checkpoint);
    }
    if is_due(&world.ledger, control, cx.now)
        && let Some(checkpoint) = world.ledger.checkpoint()
    {
        log::info!(
            "control: appending a checkpoint up to offset {}.",
            checkpoint.covers
        );
        let body = ledger::Body::Checkpoint(checkpoint);
        cx.append(world.ledger.next_offset(), &ledger::Message::new(body));
    }
}

/// Returns whether a checkpoint is due and if so counts it as requested.
/// `last_known` is the last known checkpoint with the time from which its age counts.
fn is_due<M: replica::Machine>(
    follower: &replica::Follower<M>,
    last_known: &mut Option<(Option<ids::Offset>, Instant)>,
    now: Instant,
) -> bool {
    let last = follower.last_checkpoint();
    let (known, since) = *last_known.get_or_insert((last, now));
    if since > now {
        return false;
    }
    if known != last {
        *last_known = Some((last, now));
        return false;
    }
    let next = follower.next_offset();
    let records = next.0 - last.map_or(0, |last| last.next().0);
    let age = now.saturating_duration_since(since);
    let due = records >= MAX_RECORDS_SINCE_CHECKPOINT || (records > 0 && age >= MAX_CHECKPOINT_AGE);
    if due {
        // Counts as just written until it is read back or the retry is due.
        *last_known = Some((last, now + REQUEST_RETRY_DELAY));
    }
    due
}

fn append_catalog(cx: &mut control::TickCx, from: ids::Offset, checkpoint: catalog::Checkpoint) {
    match serde_json::to_value(catalog::Body::Checkpoint(checkpoint)) {
        Ok(record) => cx.effects.push(control::Effect::Append(control::Append {
            stream: platform::Stream::Config,
            id: None,
            from,
            record,
        })),
        Err(err) => log::error!("catalog: checkpoint cannot be encoded: {err}."),
    }
}
