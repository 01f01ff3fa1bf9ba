//! Reading and decoding shared by the feeds of the log's streams.

use std::time::Duration;

use crate::control;
use crate::feed;
use crate::ids;
use crate::platform;

/// Time for which the log may hold a read open once the process is ready.
const LONG_POLL: Duration = Duration::from_secs(10);
/// First and maximum pause after a failed read.
pub const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Decoded content of the records of one stream.
pub trait RecordContent: serde::de::DeserializeOwned {
    /// Stream that the records are read from.
    const STREAM: platform::Stream;
    /// Prefix of the log lines about this stream.
    const LOG_PREFIX: &'static str;
    /// A decoded record with its offset.
    type Record;

    /// Creates the record at `offset`; `content` is `None` if it could not be decoded.
    fn record(offset: ids::Offset, content: Option<Self>) -> Self::Record;
}

/// Reads and decodes one page from offset `from`; the log may hold the read open
/// for `wait`. Returns the offset to read from next, and the page.
pub async fn read<C: RecordContent>(
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

/// Reads a stream indefinitely and sends its pages to the control thread as
/// events. Until `ready`, reads return at once and back off at the stream's end.
pub async fn follow<C: RecordContent>(
    log: platform::LogClient,
    control: control::Control,
    event: fn(control::LogPage<C::Record>) -> control::Event,
    ready: fn(&control::Snapshot) -> bool,
) {
    let mut backoff = feed::Backoff::new(RETRY_PAUSES.0, RETRY_PAUSES.1);
    let mut from = ids::Offset(0);
    loop {
        // Before the process is ready, a read must return at once to show that
        // the end of the stream is reached.
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
                log::warn!("{}: cannot read the log: {err}.", C::LOG_PREFIX);
                control.send(control::Event::LogFailed(C::STREAM)).await;
                backoff.wait().await;
            }
        }
    }
}

/// Decodes a record. All readers skip one that cannot be decoded, so that their
/// states stay equal.
fn decode<C: RecordContent>(record: platform::LogRecord) -> C::Record {
    let content: Option<C> = serde_json::from_value(record.body).ok();
    if content.is_none() {
        log::error!(
            "{}: record {} cannot be decoded and is skipped.",
            C::LOG_PREFIX,
            record.offset
        );
    }
    C::record(record.offset, content)
}
