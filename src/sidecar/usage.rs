//! Copies of usage records, which the sidecar appends itself if the entry does
//! not confirm that its own records are durable.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;

use crate::attempt;
use crate::billing;
use crate::errors;
use crate::ids;
use crate::platform;
use crate::route;
use crate::runtime;
use crate::sidecar::cx;
use crate::units;

/// Interval at which copies that the entry has not confirmed in time are appended.
const FLUSH_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of records in one append.
const MAX_RECORDS_PER_APPEND: usize = 500;
/// Pause after a failed append during a planned stop.
const STOP_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Collects the usage record of a running attempt. The record is kept when this
/// is dropped, also if the entry has cancelled the request.
pub struct UsageCopy<'a> {
    cx: &'a cx::Shared,
    dispatch: &'a attempt::Dispatch,
    usage: attempt::Usage,
    result: Option<errors::Refusal>,
    keep: bool,
}

impl<'a> UsageCopy<'a> {
    /// Starts the record of an attempt that is about to be forwarded to the
    /// endpoint; its result is `Interrupted` until [`Self::set_result`].
    pub fn begin(cx: &'a cx::Shared, dispatch: &'a attempt::Dispatch) -> Self {
        Self {
            cx,
            dispatch,
            usage: attempt::Usage::default(),
            result: Some(errors::Refusal::new(
                errors::ResultCode::Interrupted,
                "the entry gave the request up",
            )),
            keep: true,
        }
    }

    /// Sets the tokens that the attempt has used so far.
    pub const fn set_usage(&mut self, usage: attempt::Usage) {
        self.usage = usage;
    }

    /// Sets the result of the attempt; `None` if it delivered the answer.
    pub fn set_result(&mut self, result: Option<&errors::Refusal>) {
        self.result = result.cloned();
    }

    /// Discards the record of an attempt that was not run.
    pub const fn discard(&mut self) {
        self.keep = false;
    }

    fn record(&self) -> billing::UsageRecord {
        let identity = &self.cx.identity;
        let (profile, service, version) = match &self.dispatch.work {
            attempt::Work::Model {
                profile, version, ..
            } => (Some(profile.clone()), None, Some(version.clone())),
            attempt::Work::Service { service, .. } => (None, Some(service.clone()), None),
        };
        let snapshot = self.cx.control.snapshot();
        let price = version
            .as_ref()
            .and_then(|version| snapshot.versions.get(version));
        let cost = price.map_or_else(units::MicroCost::default, |version| {
            version.cost(self.usage.prompt, self.usage.output)
        });
        let code = self.result.as_ref().map(|refusal| refusal.code);
        billing::UsageRecord {
            request: self.dispatch.request,
            team: self.dispatch.team.clone(),
            profile,
            service,
            class: None,
            usage: self.usage,
            cost,
            result: code,
            ended_at: units::Millis::from(runtime::since_epoch()),
            written_by: identity.vm.clone(),
            attempts: vec![billing::AttemptRecord {
                number: self.dispatch.attempt,
                vm: identity.vm.clone(),
                domain: identity.domain.clone(),
                version,
                reason: route::Reason::KnownToEntry,
                config: self.dispatch.config,
                result: code,
                message: self
                    .result
                    .as_ref()
                    .map(|refusal| Arc::clone(&refusal.message)),
            }],
        }
    }
}

impl Drop for UsageCopy<'_> {
    fn drop(&mut self) {
        if self.keep {
            let record = self.record();
            self.cx
                .with_usage_copies(|copies| copies.hold(record, Instant::now()));
        }
    }
}

/// Appends, at each interval, copies that the entry has not confirmed in time.
pub async fn append_unconfirmed(cx: cx::Shared) {
    loop {
        Timer::after(FLUSH_INTERVAL).await;
        let due = |cx: &cx::Shared| {
            cx.with_usage_copies(|copies| copies.overdue(MAX_RECORDS_PER_APPEND, Instant::now()))
        };
        if due(&cx).is_empty() {
            continue;
        }
        if let Err(err) = append(&cx, due).await {
            log::warn!("billing: append of unconfirmed usage records failed, will retry: {err}.");
        }
    }
}

/// Appends all copies regardless of their age, for a planned stop. Failed
/// appends are retried until `deadline`; the number of records left then is logged.
pub async fn flush(cx: &cx::Shared, deadline: Instant) {
    let oldest =
        |cx: &cx::Shared| cx.with_usage_copies(|copies| copies.oldest(MAX_RECORDS_PER_APPEND));
    let append_all = async {
        while !cx.with_usage_copies(|copies| copies.is_empty()) {
            if append(cx, oldest).await.is_err() {
                Timer::after(STOP_RETRY_PAUSE).await;
            }
        }
    };
    if runtime::timeout_at(deadline, append_all).await.is_none() {
        let remaining = cx.with_usage_copies(|copies| copies.len());
        log::error!("billing: stop deadline passed with {remaining} usage records not appended.");
    }
}

/// Appends one batch. After an append with an unknown outcome, first drops the
/// copies of records that are found in the log.
async fn append(
    cx: &cx::Shared,
    batch: impl Fn(&cx::Shared) -> Vec<billing::UsageRecord>,
) -> Result<(), platform::PlatformError> {
    let mut outbox = cx.outbox.lock().await;
    let already_stored: Vec<ids::RequestId> = outbox
        .reconcile(billing::request_of)
        .await?
        .into_iter()
        .collect();
    cx.with_usage_copies(|copies| copies.confirm(&already_stored));
    let records = batch(cx);
    if records.is_empty() {
        return Ok(());
    }
    let bodies: Vec<serde_json::Value> = records
        .iter()
        .filter_map(|record| serde_json::to_value(record).ok())
        .collect();
    outbox.append(&bodies).await?;
    let requests: Vec<ids::RequestId> = records.iter().map(|record| record.request).collect();
    cx.with_usage_copies(|copies| copies.confirm(&requests));
    log::info!(
        "billing: appended {} usage records that no entry had confirmed.",
        requests.len()
    );
    Ok(())
}
