//! Places within the endpoint's limit, and waiting for one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::channel;

use crate::admission;
use crate::errors;
use crate::runtime;
use crate::sidecar::cx;
use crate::units;

/// Time for which a cancelled request keeps its place: an engine notices at
/// its next token that an answer is no longer wanted, and until then a cold
/// one would bear a request too many.
const CANCEL_LAG: Duration = Duration::from_millis(250);

/// A place within the limit; given back when dropped.
#[derive(Debug)]
pub struct Place {
    cx: cx::Shared,
    permit: Option<admission::Permit>,
    outcome: admission::Outcome,
    /// When the request was passed on, until its first token has come.
    awaiting_token: Option<Instant>,
    /// Whether the endpoint may still run the request for a while.
    lingers: bool,
}

impl Place {
    fn new(cx: &cx::Shared, permit: admission::Permit) -> Self {
        Self {
            cx: Arc::clone(cx),
            permit: Some(permit),
            outcome: admission::Outcome::Neutral,
            awaiting_token: None,
            lingers: false,
        }
    }

    /// How the request ended; [`admission::Outcome::Neutral`] where nothing is said.
    pub const fn set_outcome(&mut self, outcome: admission::Outcome) {
        self.outcome = outcome;
        self.lingers = false;
    }

    /// The endpoint may still run the request for a while.
    pub const fn set_lingers(&mut self) {
        self.lingers = true;
    }

    /// The request is passed on, and a first token is to come.
    pub fn await_token(&mut self) {
        self.awaiting_token = Some(Instant::now());
        self.lingers = true;
    }

    /// A token came.
    pub fn token(&mut self) {
        let (Some(begun), Some(permit)) = (self.awaiting_token.take(), &self.permit) else {
            return;
        };
        let took = begun.elapsed();
        let now = Instant::now();
        if self
            .cx
            .with_admission(|adm| adm.gate_mut().first_token(permit, took, now))
        {
            log_slow(took);
        }
    }

    fn missed_token(&self, permit: &admission::Permit, begun: Instant) {
        let now = Instant::now();
        let waited = now.saturating_duration_since(begun);
        if self
            .cx
            .with_admission(|adm| adm.gate_mut().no_first_token(permit, waited, now))
        {
            log_slow(waited);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        if let Some(begun) = self.awaiting_token {
            self.missed_token(&permit, begun);
        }
        if !self.lingers {
            return give_back(&self.cx, permit, self.outcome);
        }
        let (cx, outcome) = (Arc::clone(&self.cx), self.outcome);
        let later = async move {
            Timer::after(CANCEL_LAG).await;
            give_back(&cx, permit, outcome);
        };
        self.cx.traffic.spawn(later).detach();
    }
}

fn give_back(cx: &cx::Shared, permit: admission::Permit, outcome: admission::Outcome) {
    let now = Instant::now();
    if cx.with_admission(|adm| adm.leave(permit, outcome, now)) {
        log::warn!("admit: the endpoint failed, back to the cold limit.");
    }
    call_next(cx);
}

fn log_slow(waited: Duration) {
    log::warn!(
        "admit: first token after {} ms or more, the endpoint is cold, back to the cold limit.",
        waited.as_millis()
    );
}

/// A place in the queue; given up when dropped.
struct Waiting<'a> {
    cx: &'a cx::Shared,
    ticket: admission::Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let waiter = self.cx.with_admission(|adm| adm.cancel(self.ticket));
        if waiter.is_some() {
            // A request that runs alone may have held up others.
            call_next(self.cx);
        }
    }
}

/// Waits for a place. The request leaves the queue when the future is dropped.
pub async fn enter(cx: &cx::Shared, ask: admission::Ask) -> Result<Place, errors::Refusal> {
    let (tx, rx) = channel::bounded(1);
    let (arrival, displaced) = cx.with_admission(|adm| adm.arrive(ask, tx, Instant::now()));
    if let Some(call) = displaced {
        tell(cx, call);
    }
    let ticket = match arrival {
        admission::Arrival::Enter(permit) => return Ok(Place::new(cx, permit)),
        admission::Arrival::Refuse(shed) => return Err(refusal(shed)),
        admission::Arrival::Wait(ticket) => ticket,
    };
    let _waiting = Waiting { cx, ticket };
    match runtime::timeout_at(ask.deadline, rx.recv()).await {
        Some(Ok(told)) => told,
        Some(Err(_)) | None => Err(refusal(admission::Shed::Hopeless)),
    }
}

/// Starts those who may start now and refuses those who have waited in vain.
pub fn call_next(cx: &cx::Shared) {
    let calls = cx.with_admission(|adm| adm.calls(Instant::now()));
    for call in calls {
        tell(cx, call);
    }
}

/// Refuses all who wait.
pub fn refuse_waiting(cx: &cx::Shared, refusal: &errors::Refusal) {
    for waiter in cx.with_admission(admission::Controller::drain) {
        let _ = waiter.try_send(Err(refusal.clone()));
    }
}

/// A place that no one receives any more is dropped, and so given back.
fn tell(cx: &cx::Shared, call: admission::Call<cx::Waiter>) {
    let _ = match call {
        admission::Call::Start(waiter, permit) => waiter.try_send(Ok(Place::new(cx, permit))),
        admission::Call::Refuse(waiter, shed) => waiter.try_send(Err(refusal(shed))),
    };
}

fn refusal(shed: admission::Shed) -> errors::Refusal {
    match shed {
        admission::Shed::Hopeless => errors::Refusal::new(
            errors::ResultCode::DeadlineNotRun,
            "the request cannot start before its deadline",
        ),
        admission::Shed::Full { retry_after } => errors::Refusal::new(
            errors::ResultCode::Overloaded,
            "the endpoint is at its limit and its queue is full",
        )
        .retry_after(units::Millis::from(retry_after)),
    }
}
