//! Writes checkpoints before older records expire.

use std::time::{Duration, Instant};

use crate::catalog;
use crate::control;
use crate::ids;
use crate::ledger;
use crate::platform;
use crate::replica;

/// Records after which a checkpoint is due.
const MAX_RECORDS: u64 = 1_000;
/// Time after which a checkpoint is due: a third of the least retention of a day.
const MAX_AGE: Duration = Duration::from_hours(8);
/// Time after which a checkpoint that is not read back is written again.
const RETRY: Duration = Duration::from_secs(30);

/// Runs the system.
pub fn run(world: &mut control::World, cx: &mut control::TickCx) {
    if world.lease.authority(cx.now).is_none() {
        world.driver.checkpoints = [None, None];
        return;
    }
    let [config, control] = &mut world.driver.checkpoints;
    if is_due(&world.catalog, config, cx.now)
        && let Some(checkpoint) = world.catalog.checkpoint()
    {
        log::info!("catalog: checkpoint up to offset {}.", checkpoint.covers);
        append_catalog(cx, world.catalog.next_offset(), checkpoint);
    }
    if is_due(&world.ledger, control, cx.now)
        && let Some(checkpoint) = world.ledger.checkpoint()
    {
        log::info!("control: checkpoint up to offset {}.", checkpoint.covers);
        let body = ledger::Body::Checkpoint(checkpoint);
        cx.append(world.ledger.next_offset(), &ledger::Entry::new(body));
    }
}

/// `seen` is the last checkpoint with the time from which its age counts.
fn is_due<M: replica::Machine>(
    follower: &replica::Follower<M>,
    seen: &mut Option<(Option<ids::Offset>, Instant)>,
    now: Instant,
) -> bool {
    let last = follower.checkpointed();
    let (known, since) = *seen.get_or_insert((last, now));
    if since > now {
        return false;
    }
    if known != last {
        *seen = Some((last, now));
        return false;
    }
    let next = follower.next_offset();
    let records = next.0 - last.map_or(0, |last| last.next().0);
    let age = now.saturating_duration_since(since);
    let due = records >= MAX_RECORDS || (records > 0 && age >= MAX_AGE);
    if due {
        // Counts as just written until it is read back, or for a while.
        *seen = Some((last, now + RETRY));
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
