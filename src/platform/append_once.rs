//! Appends of single records with an id.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::feed;
use crate::ids;
use crate::platform;

/// First and longest pause between tries.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Appends a record with the `id` member `id` once, until `deadline`. After a
/// lost answer the stream is read forward from `from` for the id before the
/// record is appended again. Returns whether the record is known to be there.
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
    let mut backoff = feed::Backoff::new(PAUSES.0, PAUSES.1);
    while Instant::now() < deadline {
        match try_once(&mut appender, id, &records).await {
            Ok(()) => return true,
            Err(err) => log::warn!("control: append to {stream}: {err}."),
        }
        backoff.wait().await;
    }
    false
}

async fn try_once(
    appender: &mut platform::Appender,
    id: &str,
    records: &[Value],
) -> Result<(), platform::PlatformError> {
    let is_it = |record: &Value| (record["id"].as_str() == Some(id)).then_some(());
    if !appender.settle(is_it).await?.is_empty() {
        return Ok(());
    }
    appender.append(records).await
}
