//! Follows the `evidence` stream of the log while the lease is held.

use std::time::Duration;

use smol::Timer;

use crate::control;
use crate::estimate;
use crate::feed;
use crate::ids;
use crate::platform;

/// Interval at which the process looks whether it holds the lease.
const LOOK: Duration = Duration::from_millis(500);
/// Time that the log may hold a read open; short, since the lease may end.
const LONG_POLL: Duration = Duration::from_secs(2);

impl feed::Content for estimate::Evidence {
    const STREAM: platform::Stream = platform::Stream::Evidence;
    const PREFIX: &'static str = "control";
    type Record = (ids::Offset, Option<Self>);

    fn record(offset: ids::Offset, evidence: Option<Self>) -> Self::Record {
        (offset, evidence)
    }
}

/// Reads the stream for ever, where and while the lease says so.
pub async fn follow_evidence(log: platform::LogClient, control: control::Control) {
    let mut backoff = feed::Backoff::new(feed::PAUSES.0, feed::PAUSES.1);
    let mut read_up_to: Option<(ids::Fence, ids::Offset)> = None;
    loop {
        let Some((fence, folded)) = control.snapshot().driving else {
            read_up_to = None;
            Timer::after(LOOK).await;
            continue;
        };
        let from = match read_up_to {
            Some((same, next)) if same == fence => next.max(folded),
            _ => folded,
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
                log::warn!("control: cannot read evidence: {err}.");
                backoff.wait().await;
            }
        }
    }
}
