//! Appends usage records to the log.

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

/// Maximum number of records in one append; about 150 KB.
const MAX_BATCH_RECORDS: usize = 500;
/// Maximum number of request ids in one confirmation.
const MAX_CONFIRMED_IDS: usize = 1_000;

/// Appends the records of the outbox to the `usage` stream.
#[derive(Debug)]
pub struct UsageWriter {
    cx: cx::Shared,
    appender: Mutex<platform::Appender>,
}

impl UsageWriter {
    /// Creates a writer for the outbox of `cx`; nothing is appended yet.
    #[must_use]
    pub fn new(cx: cx::Shared, log: platform::LogClient) -> Self {
        let appender = platform::Appender::new(log, platform::Stream::Usage);
        Self {
            cx,
            appender: Mutex::new(appender),
        }
    }

    /// Appends queued records at each flush interval; never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            Timer::after(self.cx.cfg.usage_flush_ms.duration()).await;
            if let Err(err) = self.flush().await {
                let queued = self.cx.with_outbox(|outbox| outbox.len());
                log::warn!("billing: append failed, {queued} usage records are queued: {err}.");
            }
        }
    }

    /// Appends until the outbox is empty or the deadline passes.
    pub async fn drain(&self, deadline: Instant) {
        loop {
            match runtime::timeout_at(deadline, self.flush()).await {
                Some(Ok(())) => return,
                Some(Err(err)) => log::warn!("billing: flush failed: {err}."),
                None => break,
            }
            Timer::after(self.cx.cfg.usage_flush_ms.duration()).await;
        }
        let queued = self.cx.with_outbox(|outbox| outbox.len());
        log::warn!("billing: stopped with {queued} usage records that are not durable.");
    }

    async fn flush(&self) -> Result<(), platform::PlatformError> {
        let mut appender = self.appender.lock().await;
        loop {
            let (queued, batch) = self
                .cx
                .with_outbox(|outbox| (outbox.len(), outbox.oldest_batch(MAX_BATCH_RECORDS)));
            observe::metrics().set_outbox(queued);
            if batch.is_empty() {
                return Ok(());
            }
            let durable = self.append(&mut appender, &batch).await?;
            log::debug!("billing: {} usage records are durable.", durable.len());
            let by_vm = self.cx.with_outbox(|outbox| outbox.confirm(&durable));
            self.notify_sidecars(by_vm).await;
        }
    }

    /// Appends the batch and returns the requests whose records are durable. If an
    /// earlier append of unknown outcome turns out to have written any of them, returns
    /// just those and appends nothing.
    async fn append(
        &self,
        appender: &mut platform::Appender,
        batch: &[Arc<billing::UsageRecord>],
    ) -> Result<HashSet<ids::RequestId>, platform::PlatformError> {
        let requests: HashSet<ids::RequestId> = batch.iter().map(|record| record.request).collect();
        let own = |record: &Value| {
            billing::request_of(record).filter(|request| requests.contains(request))
        };
        let found = appender.reconcile(own).await?;
        if !found.is_empty() {
            return Ok(found);
        }
        let records: Vec<Value> = batch
            .iter()
            .filter_map(|record| serde_json::to_value(record).ok())
            .collect();
        appender.append(&records).await?;
        Ok(requests)
    }

    /// Notifies the sidecars that they may discard their copies. A sidecar that misses
    /// this appends its copy, which readers discard as a duplicate.
    async fn notify_sidecars(&self, durable: billing::DurableByVm) {
        for (vm, requests) in durable {
            for chunk in requests.chunks(MAX_CONFIRMED_IDS) {
                let opening = wire::StreamOpening::UsageDurable(chunk.to_vec());
                if let Err(err) = self.cx.links.open_stream(&vm, &opening).await {
                    log::debug!("billing: could not notify {vm} of durable records: {err}.");
                }
            }
        }
    }
}
