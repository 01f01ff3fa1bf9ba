//! Copies of usage records, and their append where the entry does not confirm its own.

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

/// Interval at which copies that are due are looked for.
const FLUSH_INTERVAL: Duration = Duration::from_secs(5);
/// Records of one append.
const MAX_APPEND: usize = 500;
/// Pause after a failed append during a stop.
const STOP_RETRY: Duration = Duration::from_millis(250);

/// The copy of a running attempt; kept when dropped, also where the entry
/// has given the request up.
pub struct Copy<'a> {
    cx: &'a cx::Shared,
    dispatch: &'a attempt::Dispatch,
    usage: attempt::Usage,
    result: Option<errors::Refusal>,
    keep: bool,
}

impl<'a> Copy<'a> {
    /// The attempt is about to be passed on.
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

    /// What the attempt has used so far.
    pub const fn set_usage(&mut self, usage: attempt::Usage) {
        self.usage = usage;
    }

    /// How the attempt ended; `None` where it gave the answer.
    pub fn ended(&mut self, result: Option<&errors::Refusal>) {
        self.result = result.cloned();
    }

    /// Nothing has run.
    pub const fn discard(&mut self) {
        self.keep = false;
    }

    fn record(&self) -> billing::UsageRecord {
        let me = &self.cx.me;
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
            written_by: me.vm.clone(),
            attempts: vec![billing::AttemptRecord {
                number: self.dispatch.attempt,
                vm: me.vm.clone(),
                domain: me.domain.clone(),
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

impl Drop for Copy<'_> {
    fn drop(&mut self) {
        if self.keep {
            let record = self.record();
            self.cx
                .with_copies(|copies| copies.hold(record, Instant::now()));
        }
    }
}

/// Appends copies that the entry has not confirmed in time.
pub async fn follow(cx: cx::Shared) {
    loop {
        Timer::after(FLUSH_INTERVAL).await;
        let due = |cx: &cx::Shared| cx.with_copies(|copies| copies.due(MAX_APPEND, Instant::now()));
        if due(&cx).is_empty() {
            continue;
        }
        if let Err(err) = append(&cx, due).await {
            log::warn!("billing: usage was not appended: {err}.");
        }
    }
}

/// Appends all copies, for a planned stop; gives up at the deadline.
pub async fn flush(cx: &cx::Shared, deadline: Instant) {
    let oldest = |cx: &cx::Shared| cx.with_copies(|copies| copies.oldest(MAX_APPEND));
    let append_all = async {
        while !cx.with_copies(|copies| copies.is_empty()) {
            if append(cx, oldest).await.is_err() {
                Timer::after(STOP_RETRY).await;
            }
        }
    };
    if runtime::timeout_at(deadline, append_all).await.is_none() {
        let left = cx.with_copies(|copies| copies.len());
        log::error!("billing: {left} usage records were not appended before the stop.");
    }
}

async fn append(
    cx: &cx::Shared,
    batch: impl Fn(&cx::Shared) -> Vec<billing::UsageRecord>,
) -> Result<(), platform::PlatformError> {
    let mut outbox = cx.outbox.lock().await;
    let found: Vec<ids::RequestId> = outbox
        .settle(billing::request_of)
        .await?
        .into_iter()
        .collect();
    cx.with_copies(|copies| copies.confirm(&found));
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
    cx.with_copies(|copies| copies.confirm(&requests));
    log::info!(
        "billing: {} usage records appended that no entry had confirmed.",
        requests.len()
    );
    Ok(())
}
