//! Makes usage records durable.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

use serde_json::Value;
use smol::Timer;
use smol::lock::Mutex;

use crate::billing;
use crate::entry::cx;
use crate::ids;
use crate::observe;
use crate::platform;
use crate::runtime;
use crate::wire;

/// Records in one append; about 150 KB.
const GROUP: usize = 500;
/// Request ids in one confirmation.
const CONFIRMED: usize = 1_000;

/// Appends the outbox to the `usage` stream.
#[derive(Debug)]
pub struct UsageWriter {
    cx: cx::Shared,
    appender: Mutex<platform::Appender>,
}

impl UsageWriter {
    /// A writer of the outbox of `cx`.
    #[must_use]
    pub fn new(cx: cx::Shared, log: platform::LogClient) -> Self {
        let appender = platform::Appender::new(log, platform::Stream::Usage);
        Self {
            cx,
            appender: Mutex::new(appender),
        }
    }

    /// Appends at each flush interval.
    pub async fn run(self: Arc<Self>) {
        loop {
            Timer::after(self.cx.cfg.usage_flush_ms.duration()).await;
            if let Err(err) = self.flush().await {
                let waiting = self.cx.with_outbox(|outbox| outbox.len());
                log::warn!("billing: {waiting} usage records wait: {err}.");
            }
        }
    }

    /// Appends until nothing waits or the deadline passes.
    pub async fn drain(&self, deadline: Instant) {
        loop {
            match runtime::timeout_at(deadline, self.flush()).await {
                Some(Ok(())) => return,
                Some(Err(err)) => log::warn!("billing: flush failed: {err}."),
                None => break,
            }
            Timer::after(self.cx.cfg.usage_flush_ms.duration()).await;
        }
        let waiting = self.cx.with_outbox(|outbox| outbox.len());
        log::warn!("billing: stopped with {waiting} usage records that are not durable.");
    }

    async fn flush(&self) -> Result<(), platform::PlatformError> {
        let mut appender = self.appender.lock().await;
        loop {
            let (waiting, group) = self
                .cx
                .with_outbox(|outbox| (outbox.len(), outbox.oldest_batch(GROUP)));
            observe::metrics().set_outbox(waiting);
            if group.is_empty() {
                return Ok(());
            }
            let durable = self.append(&mut appender, &group).await?;
            log::debug!("billing: {} usage records are durable.", durable.len());
            let by_vm = self.cx.with_outbox(|outbox| outbox.confirm(&durable));
            self.confirm(by_vm).await;
        }
    }

    /// Appends the group, except where a lost append turns out to have put
    /// records of it into the stream. Returns those known to be durable.
    async fn append(
        &self,
        appender: &mut platform::Appender,
        group: &[Arc<billing::UsageRecord>],
    ) -> Result<HashSet<ids::RequestId>, platform::PlatformError> {
        let requests: HashSet<ids::RequestId> = group.iter().map(|record| record.request).collect();
        let own = |record: &Value| {
            billing::request_of(record).filter(|request| requests.contains(request))
        };
        let found = appender.settle(own).await?;
        if !found.is_empty() {
            return Ok(found);
        }
        let records: Vec<Value> = group
            .iter()
            .filter_map(|record| serde_json::to_value(record).ok())
            .collect();
        appender.append(&records).await?;
        Ok(requests)
    }

    /// Tells the processes beside the endpoints that they may drop their
    /// copies. One that is not told appends its copy, which readers drop.
    async fn confirm(&self, durable: billing::DurableByVm) {
        for (vm, requests) in durable {
            for part in requests.chunks(CONFIRMED) {
                let opening = wire::Opening::UsageDurable(part.to_vec());
                if let Err(err) = self.cx.links.open(&vm, &opening).await {
                    log::debug!("billing: {vm} was not told of durable records: {err}.");
                }
            }
        }
    }
}
