//! Follows the `config` stream of the log.

use std::time::Duration;

use crate::catalog;
use crate::control;
use crate::feed;
use crate::ids;
use crate::platform;

/// Time that the log may hold a read open.
const LONG_POLL: Duration = Duration::from_secs(10);
/// First and longest pause after a failed read.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Reads the stream for ever and hands its records to the control thread.
pub async fn follow_config(log: platform::LogClient, control: control::Control) {
    let mut backoff = feed::Backoff::new(PAUSES.0, PAUSES.1);
    let mut from = ids::Offset(0);
    loop {
        // The first reads must tell quickly that the stream is at its end.
        let wait = if control.snapshot().config.is_some() {
            LONG_POLL
        } else {
            Duration::ZERO
        };
        match log.read(platform::Stream::Config, from, wait).await {
            Ok(page) => {
                backoff.reset();
                let idle = page.records.is_empty();
                from = page
                    .records
                    .last()
                    .map_or(page.first_retained.max(from), |record| record.offset.next());
                let records = page.records.into_iter().map(decode).collect();
                control
                    .send(control::Event::ConfigPage(control::LogPage {
                        first_retained: page.first_retained,
                        end: page.end,
                        records,
                    }))
                    .await;
                if idle && wait.is_zero() {
                    backoff.wait().await;
                }
            }
            Err(err) => {
                log::warn!("catalog: cannot read the log: {err}.");
                control
                    .send(control::Event::LogFailed(platform::Stream::Config))
                    .await;
                backoff.wait().await;
            }
        }
    }
}

/// A record that cannot be decoded is skipped by all readers alike.
fn decode(record: platform::LogRecord) -> catalog::Record {
    let body: Option<catalog::Body> = serde_json::from_value(record.body).ok();
    if body.is_none() {
        log::error!(
            "catalog: record {} cannot be decoded and is skipped.",
            record.offset
        );
    }
    catalog::Record {
        offset: record.offset,
        body,
    }
}
