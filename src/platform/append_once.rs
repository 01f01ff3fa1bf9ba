//! Appends whose answer may be lost.

use std::time::{Duration, Instant};

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
    record: serde_json::Value,
    deadline: Instant,
) -> bool {
    let records = [record];
    let mut backoff = feed::Backoff::new(PAUSES.0, PAUSES.1);
    let mut is_unsure = false;
    while Instant::now() < deadline {
        match try_once(log, stream, id, from, &records, is_unsure).await {
            Ok(()) => return true,
            Err(err) => {
                // A failed look-up leaves the append before it as unsure as it was.
                is_unsure |= matches!(err, platform::PlatformError::Unknown(_));
                log::warn!("control: append to {stream}: {err}.");
            }
        }
        backoff.wait().await;
    }
    false
}

async fn try_once(
    log: &platform::LogClient,
    stream: platform::Stream,
    id: &str,
    from: ids::Offset,
    records: &[serde_json::Value],
    is_unsure: bool,
) -> Result<(), platform::PlatformError> {
    if is_unsure && contains(log, stream, id, from).await? {
        return Ok(());
    }
    log.append(stream, records).await.map(|_| ())
}

/// Whether the record with this id lies at `from` or behind it.
async fn contains(
    log: &platform::LogClient,
    stream: platform::Stream,
    id: &str,
    mut from: ids::Offset,
) -> Result<bool, platform::PlatformError> {
    loop {
        let page = log.read(stream, from, Duration::ZERO).await?;
        let found = |record: &platform::LogRecord| record.body["id"].as_str() == Some(id);
        if page.records.iter().any(found) {
            return Ok(true);
        }
        match page.records.last() {
            Some(last) if last.offset.next() < page.end => from = last.offset.next(),
            _ => return Ok(false),
        }
    }
}
