//! Appends a single record with an id exactly once.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::feed;
use crate::ids;
use crate::platform;

/// Initial and maximum pause between attempts.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Appends a record whose `id` member is `id` exactly once, retrying until `deadline`.
/// After a lost response, searches the stream from `from` on for the id before it
/// appends again. Returns whether the record is known to be in the stream.
pub async fn append_once(
    log: &platform::LogClient,
    stream: platform::Stream,
    id: &str,
    from: ids::Offset,
    record: Value,
    deadline: Instant,
) -> bool {
    let records = [record];
    let mut appender = platform::Appender::starting_at(log.clone(), stream, from);
    let mut backoff = feed::Backoff::new(RETRY_PAUSE.0, RETRY_PAUSE.1);
    while Instant::now() < deadline {
        match try_append(&mut appender, id, &records).await {
            Ok(()) => return true,
            Err(err) => log::warn!("control: append to {stream} failed: {err}."),
        }
        backoff.wait().await;
    }
    false
}

async fn try_append(
    appender: &mut platform::Appender,
    id: &str,
    records: &[Value],
) -> Result<(), platform::PlatformError> {
    let has_id = |record: &Value| (record["id"].as_str() == Some(id)).then_some(());
    if !appender.reconcile(has_id).await?.is_empty() {
        return Ok(());
    }
    appender.append(records).await
}
