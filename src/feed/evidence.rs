//! Feed of the `evidence` stream of the log, active while the lease is held.

use std::time::Duration;

use smol::Timer;

use crate::control;
use crate::estimate;
use crate::feed;
use crate::ids;
use crate::platform;

/// Interval at which the snapshot is checked for the lease while it is not held.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the log may hold a read open; short, since the lease may end.
const LONG_POLL: Duration = Duration::from_secs(2);

impl feed::RecordContent for estimate::Evidence {
    const STREAM: platform::Stream = platform::Stream::Evidence;
    const LOG_PREFIX: &'static str = "control";
    type Record = (ids::Offset, Option<Self>);

    fn record(offset: ids::Offset, evidence: Option<Self>) -> Self::Record {
        (offset, evidence)
    }
}

/// Reads the `evidence` stream while this process holds the lease, from the
/// first record not yet aggregated, and sends its pages to the control thread.
pub async fn follow_evidence(log: platform::LogClient, control: control::Control) {
    let mut backoff = feed::Backoff::new(feed::RETRY_PAUSES.0, feed::RETRY_PAUSES.1);
    let mut read_up_to: Option<(ids::Fence, ids::Offset)> = None;
    loop {
        let Some((fence, cursor)) = control.snapshot().evidence_cursor else {
            read_up_to = None;
            Timer::after(LEASE_CHECK_INTERVAL).await;
            continue;
        };
        let from = match read_up_to {
            Some((same, next)) if same == fence => next.max(cursor),
            _ => cursor,
        };
        match feed::read::<estimate::Evidence>(&log, from, LONG_POLL).await {
            Ok((next, page)) => {
                backoff.reset();
                read_up_to = Some((fence, next));
                if !page.records.is_empty() {
                    control
                        .send(control::Event::EvidencePage(fence, page))
                        .await;
                }
            }
            Err(err) => {
                log::warn!("control: cannot read stream evidence from the log: {err}.");
                backoff.wait().await;
            }
        }
    }
}
