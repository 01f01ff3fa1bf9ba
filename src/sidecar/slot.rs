//! Slots within the endpoint's concurrency limit, and the wait for one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::channel;

use crate::admission;
use crate::errors;
use crate::runtime;
use crate::sidecar::cx;
use crate::units;

/// Time for which a cancelled request keeps its slot: an engine notices the
/// cancellation only at its next token, and until then a cold engine would run
/// one request more than its limit.
const CANCEL_GRACE: Duration = Duration::from_millis(250);

/// A slot within the concurrency limit; released when dropped.
#[derive(Debug)]
pub struct Slot {
    cx: cx::Shared,
    permit: Option<admission::Permit>,
    outcome: admission::Outcome,
    /// Time at which the request was forwarded; `None` if no first token is due.
    first_token_due_since: Option<Instant>,
    /// Whether the endpoint may still run the request for a while after the drop.
    keep_after_drop: bool,
}

impl Slot {
    fn new(cx: &cx::Shared, permit: admission::Permit) -> Self {
        Self {
            cx: Arc::clone(cx),
            permit: Some(permit),
            outcome: admission::Outcome::Neutral,
            first_token_due_since: None,
            keep_after_drop: false,
        }
    }

    /// Sets how the request ended; [`admission::Outcome::Neutral`] if never called.
    /// The slot is then released as soon as it is dropped.
    pub const fn set_outcome(&mut self, outcome: admission::Outcome) {
        self.outcome = outcome;
        self.keep_after_drop = false;
    }

    /// Notes that the endpoint may still run the request after the slot is dropped,
    /// so that the slot is released only after [`CANCEL_GRACE`].
    pub const fn set_keep_after_drop(&mut self) {
        self.keep_after_drop = true;
    }

    /// Notes that the request is being forwarded and its first token is due.
    pub fn expect_first_token(&mut self) {
        self.first_token_due_since = Some(Instant::now());
        self.keep_after_drop = true;
    }

    /// Records a token; the first one shows whether the endpoint is cold.
    pub fn record_token(&mut self) {
        let (Some(forwarded_at), Some(permit)) = (self.first_token_due_since.take(), &self.permit)
        else {
            return;
        };
        let waited = forwarded_at.elapsed();
        let now = Instant::now();
        if self
            .cx
            .with_admission(|adm| adm.gate_mut().record_first_token(permit, waited, now))
        {
            log_cold_endpoint(waited);
        }
    }

    /// Records that the request ended without a first token.
    fn record_missing_token(&self, permit: &admission::Permit, forwarded_at: Instant) {
        let now = Instant::now();
        let waited = now.saturating_duration_since(forwarded_at);
        if self.cx.with_admission(|adm| {
            adm.gate_mut()
                .record_missed_first_token(permit, waited, now)
        }) {
            log_cold_endpoint(waited);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        if let Some(forwarded_at) = self.first_token_due_since {
            self.record_missing_token(&permit, forwarded_at);
        }
        if !self.keep_after_drop {
            return release(&self.cx, permit, self.outcome);
        }
        let (cx, outcome) = (Arc::clone(&self.cx), self.outcome);
        let delayed_release = async move {
            Timer::after(CANCEL_GRACE).await;
            release(&cx, permit, outcome);
        };
        self.cx.traffic.spawn(delayed_release).detach();
    }
}

fn release(cx: &cx::Shared, permit: admission::Permit, outcome: admission::Outcome) {
    let now = Instant::now();
    if cx.with_admission(|adm| adm.release(permit, outcome, now)) {
        log::warn!(
            "admit: a request failed on the endpoint, concurrency limit reset to the cold limit."
        );
    }
    admit_waiting(cx);
}

fn log_cold_endpoint(waited: Duration) {
    log::warn!(
        "admit: first token after {} ms or more indicates a cold endpoint, concurrency limit reset to the cold limit.",
        waited.as_millis()
    );
}

/// Guard of a queued request; removes it from the queue when dropped.
struct QueuedRequest<'a> {
    cx: &'a cx::Shared,
    ticket: admission::Ticket,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let waiter = self.cx.with_admission(|adm| adm.cancel(self.ticket));
        if waiter.is_some() {
            // A request that must run alone may have blocked those behind it.
            admit_waiting(self.cx);
        }
    }
}

/// Acquires a slot, and waits in the queue if none is free. Errs if the queue is
/// full, the request cannot start before its deadline, or waiting work is refused.
/// Dropping the future removes the request from the queue.
pub async fn acquire(
    cx: &cx::Shared,
    request: admission::AdmissionRequest,
) -> Result<Slot, errors::Refusal> {
    let (tx, rx) = channel::bounded(1);
    let (arrival, displaced) = cx.with_admission(|adm| adm.submit(request, tx, Instant::now()));
    if let Some(decision) = displaced {
        notify(cx, decision);
    }
    let ticket = match arrival {
        admission::ArrivalDecision::Admit(permit) => return Ok(Slot::new(cx, permit)),
        admission::ArrivalDecision::Refuse(reason) => return Err(to_refusal(reason)),
        admission::ArrivalDecision::Wait(ticket) => ticket,
    };
    let _queued = QueuedRequest { cx, ticket };
    match runtime::timeout_at(request.deadline, rx.recv()).await {
        Some(Ok(result)) => result,
        Some(Err(_)) | None => Err(to_refusal(admission::RefusalReason::DeadlineUnreachable)),
    }
}

/// Admits waiting requests for which there is room now, and refuses those that
/// can no longer start before their deadline.
pub fn admit_waiting(cx: &cx::Shared) {
    let decisions = cx.with_admission(|adm| adm.take_decisions(Instant::now()));
    for decision in decisions {
        notify(cx, decision);
    }
}

/// Refuses all waiting requests with the same refusal.
pub fn refuse_waiting(cx: &cx::Shared, refusal: &errors::Refusal) {
    for waiter in cx.with_admission(admission::Controller::drain) {
        let _ = waiter.try_send(Err(refusal.clone()));
    }
}

/// Notifies a waiting request of its decision. If the request has gone, its slot
/// is dropped and thereby released.
fn notify(cx: &cx::Shared, decision: admission::QueueDecision<cx::Waiter>) {
    let _ = match decision {
        admission::QueueDecision::Start(waiter, permit) => {
            waiter.try_send(Ok(Slot::new(cx, permit)))
        }
        admission::QueueDecision::Refuse(waiter, reason) => {
            waiter.try_send(Err(to_refusal(reason)))
        }
    };
}

fn to_refusal(reason: admission::RefusalReason) -> errors::Refusal {
    match reason {
        admission::RefusalReason::DeadlineUnreachable => errors::Refusal::new(
            errors::ResultCode::DeadlineNotRun,
            "the request cannot start before its deadline",
        ),
        admission::RefusalReason::Full { retry_after } => errors::Refusal::new(
            errors::ResultCode::Overloaded,
            "the endpoint is at its limit and its queue is full",
        )
        .with_retry_after(units::Millis::from(retry_after)),
    }
}
