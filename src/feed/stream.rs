//! What the feeds of the log's streams have in common.

use std::time::Duration;

use crate::control;
use crate::feed;
use crate::ids;
use crate::platform;

/// Time that the log may hold a read open.
const LONG_POLL: Duration = Duration::from_secs(10);
/// First and longest pause after a failed read.
pub const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Content of the records of a stream.
pub trait Content: serde::de::DeserializeOwned {
    /// The stream.
    const STREAM: platform::Stream;
    /// Prefix of log lines.
    const PREFIX: &'static str;
    /// A record with its position.
    type Record;

    /// The record of this content; `None` where it could not be decoded.
    fn record(offset: ids::Offset, content: Option<Self>) -> Self::Record;
}

/// Reads one page. Returns the offset to read from next.
pub async fn read<C: Content>(
    log: &platform::LogClient,
    from: ids::Offset,
    wait: Duration,
) -> Result<(ids::Offset, control::LogPage<C::Record>), platform::PlatformError> {
    let page = log.read(C::STREAM, from, wait).await?;
    let next = page
        .records
        .last()
        .map_or(page.first_retained.max(from), |record| record.offset.next());
    let records = page.records.into_iter().map(decode::<C>).collect();
    let page = control::LogPage {
        first_retained: page.first_retained,
        end: page.end,
        records,
    };
    Ok((next, page))
}

/// Reads a stream for ever and hands its records to the control thread.
pub async fn follow<C: Content>(
    log: platform::LogClient,
    control: control::Control,
    event: fn(control::LogPage<C::Record>) -> control::Event,
    ready: fn(&control::Snapshot) -> bool,
) {
    let mut backoff = feed::Backoff::new(PAUSES.0, PAUSES.1);
    let mut from = ids::Offset(0);
    loop {
        // The first reads must tell quickly that the stream is at its end.
        let is_ready = ready(&control.snapshot());
        let wait = if is_ready { LONG_POLL } else { Duration::ZERO };
        match read::<C>(&log, from, wait).await {
            Ok((next, page)) => {
                from = next;
                let idle = page.records.is_empty();
                control.send(event(page)).await;
                if is_ready || !idle {
                    backoff.reset();
                } else {
                    backoff.wait().await;
                }
            }
            Err(err) => {
                log::warn!("{}: cannot read the log: {err}.", C::PREFIX);
                control.send(control::Event::LogFailed(C::STREAM)).await;
                backoff.wait().await;
            }
        }
    }
}

/// A record that cannot be decoded is skipped by all readers alike.
fn decode<C: Content>(record: platform::LogRecord) -> C::Record {
    let content: Option<C> = serde_json::from_value(record.body).ok();
    if content.is_none() {
        log::error!(
            "{}: record {} cannot be decoded and is skipped.",
            C::PREFIX,
            record.offset
        );
    }
    C::record(record.offset, content)
}
