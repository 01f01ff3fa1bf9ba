//! Attempts at a call of a plain service.

use std::sync::Arc;
use std::time::Duration;

use crate::attempt;
use crate::billing;
use crate::control;
use crate::entry;
use crate::entry::{bill, cx};
use crate::errors;
use crate::estimate;
use crate::route;
use crate::runtime;
use crate::wire;

/// Attempts at one call.
const MAX_ATTEMPTS: usize = 4;
/// Time past the deadline for the endpoint's process to report the end itself.
const GRACE: Duration = Duration::from_millis(500);

/// Makes the attempts at one call.
#[derive(Debug)]
pub struct ServiceRun {
    /// What the tasks share.
    pub cx: cx::Shared,
    /// The call.
    pub ask: entry::ServiceAsk,
    /// Its bill.
    pub bill: bill::Bill,
    tried: Vec<control::EndpointKey>,
    /// Attempts that may have run.
    ran: usize,
}

/// An attempt that gave no answer.
#[derive(Clone, Debug)]
pub enum Failure {
    /// It has not run and never will.
    NotRun(errors::Refusal),
    /// It may have run.
    MayHaveRun(errors::Refusal),
}

impl ServiceRun {
    /// No attempt yet.
    #[must_use]
    pub fn new(cx: cx::Shared, ask: entry::ServiceAsk) -> Self {
        let draft = billing::Draft::new(ask.id, ask.team.clone(), cx.me.vm.clone())
            .for_service(ask.service.clone());
        Self {
            bill: bill::Bill::new(cx.clone(), draft),
            cx,
            ask,
            tried: Vec::new(),
            ran: 0,
        }
    }

    /// Runs a call that may be repeated.
    pub async fn repeatable(&mut self) -> Result<attempt::ServiceAnswer, errors::Refusal> {
        let mut last: Option<errors::Refusal> = None;
        while !self.is_exhausted() {
            let snapshot = self.cx.control.snapshot();
            let endpoint = match self.choose(&snapshot) {
                Ok(endpoint) => endpoint,
                Err(refusal) => return Err(self.refuse(last.unwrap_or(refusal))),
            };
            let refusal = match self.attempt(&snapshot, endpoint, None).await {
                Ok(answer) => return Ok(answer),
                Err(Failure::NotRun(refusal)) => refusal,
                Err(Failure::MayHaveRun(refusal))
                    if refusal.code == errors::ResultCode::DeadlineExceeded =>
                {
                    return Err(refusal);
                }
                Err(Failure::MayHaveRun(refusal)) => errors::Refusal {
                    code: errors::ResultCode::Unreachable,
                    ..refusal
                },
            };
            match self.cx.may_retry(refusal) {
                Ok(refusal) => last = Some(refusal),
                Err(refusal) => return Err(self.refuse(refusal)),
            }
        }
        let refusal = last.unwrap_or_else(|| {
            errors::Refusal::new(errors::ResultCode::Overloaded, "no endpoint took the call")
        });
        Err(self.refuse(refusal))
    }

    fn refuse(&self, refusal: errors::Refusal) -> errors::Refusal {
        self.bill.correct_not_run(cx::hinted(refusal))
    }

    /// Whether no further attempt is made.
    #[must_use]
    pub const fn is_exhausted(&self) -> bool {
        self.tried.len() >= MAX_ATTEMPTS
    }

    /// Chooses an endpoint that has not been tried.
    pub fn choose(
        &self,
        snapshot: &control::Snapshot,
    ) -> Result<control::EndpointKey, errors::Refusal> {
        let req = route::RouteRequest {
            class: estimate::RequestClass::default(),
            pin: None,
            fingerprint: self.ask.fingerprint(),
            prefix: None,
            time_left: self.ask.time_left(),
            excluded: &self.tried,
            ran: self.ran,
            domain: &self.cx.me.domain,
            region: &self.cx.me.region,
        };
        route::decide_service(snapshot, &self.ask.service, &req, &mut fastrand::Rng::new())
    }

    /// Makes one attempt.
    pub async fn attempt(
        &mut self,
        snapshot: &control::Snapshot,
        endpoint: control::EndpointKey,
        call: Option<attempt::CallRef>,
    ) -> Result<attempt::ServiceAnswer, Failure> {
        let result = self.exchange(snapshot, endpoint, call).await;
        if !matches!(result, Err(Failure::NotRun(_))) {
            self.ran += 1;
        }
        if let Err(Failure::NotRun(refusal) | Failure::MayHaveRun(refusal)) = &result {
            self.bill.record_failure(refusal);
        }
        result
    }

    async fn exchange(
        &mut self,
        snapshot: &control::Snapshot,
        endpoint: control::EndpointKey,
        call: Option<attempt::CallRef>,
    ) -> Result<attempt::ServiceAnswer, Failure> {
        let unreachable =
            |reason: String| errors::Refusal::new(errors::ResultCode::Unreachable, reason);
        self.tried.push(endpoint);
        let Some(view) = snapshot.endpoints.get(endpoint) else {
            return Err(Failure::NotRun(unreachable("the endpoint has gone".into())));
        };
        self.record(snapshot, view);
        let _in_flight = view.in_flight.enter();
        if !self.cx.links.is_up(&view.vm) {
            return Err(Failure::NotRun(unreachable("not connected".into())));
        }
        let opening = wire::Opening::Dispatch(Box::new(self.dispatch(snapshot, call)));
        // From here on the frame may have arrived, whatever the error says.
        let opened = self.cx.links.open(&view.vm, &opening).await;
        let (_tx, mut rx) = match opened {
            Ok(stream) => stream,
            Err(err) => {
                self.bill.mark_ran();
                return Err(Failure::MayHaveRun(unreachable(err.to_string())));
            }
        };
        loop {
            let read = wire::read::<wire::Reply>(&mut rx);
            match runtime::timeout_at(self.ask.deadline + GRACE, read).await {
                Some(Ok(Some(wire::Reply::Accepted))) => self.bill.mark_ran(),
                Some(Ok(Some(wire::Reply::Answer(answer)))) => {
                    self.bill.mark_ran();
                    return Ok(answer);
                }
                Some(Ok(Some(wire::Reply::Refused { refusal, .. }))) => {
                    return Err(Failure::NotRun(refusal));
                }
                other => {
                    self.bill.mark_ran();
                    return Err(Failure::MayHaveRun(broken(other)));
                }
            }
        }
    }

    fn record(&mut self, snapshot: &control::Snapshot, view: &control::EndpointView) {
        let number = u16::try_from(self.tried.len()).unwrap_or(u16::MAX);
        log::info!(
            "route: request {} team {} service {} {} attempt {number} to {} in {}, load {:.2}.",
            self.ask.id,
            self.ask.team,
            self.ask.service,
            self.ask.method,
            view.vm,
            view.domain,
            view.load()
        );
        self.bill.begin_attempt(billing::AttemptRecord {
            number,
            vm: view.vm.clone(),
            domain: view.domain.clone(),
            version: None,
            reason: route::Reason::Service,
            config: snapshot.config,
            result: None,
            message: None,
        });
    }

    fn dispatch(
        &self,
        snapshot: &control::Snapshot,
        call: Option<attempt::CallRef>,
    ) -> attempt::Dispatch {
        let ask = &self.ask;
        attempt::Dispatch {
            request: ask.id,
            attempt: u16::try_from(self.tried.len()).unwrap_or(u16::MAX),
            team: ask.team.clone(),
            time_left: ask.time_left(),
            priority: ask.priority,
            fingerprint: ask.fingerprint(),
            alone: false,
            config: snapshot.config,
            work: attempt::Work::Service {
                service: ask.service.clone(),
                method: Arc::clone(&ask.method),
                path: Arc::clone(&ask.path),
                content_type: ask.content_type.clone(),
                body: ask.body.clone(),
                call,
            },
        }
    }
}

fn broken(read: Option<Result<Option<wire::Reply>, wire::WireError>>) -> errors::Refusal {
    let interrupted =
        |reason: String| errors::Refusal::new(errors::ResultCode::Interrupted, reason);
    match read {
        None => errors::Refusal::new(errors::ResultCode::DeadlineExceeded, "the deadline passed"),
        Some(Ok(Some(wire::Reply::Failed { refusal, .. }))) => refusal,
        Some(Ok(reply)) => interrupted(format!("unexpected reply: {reply:?}")),
        Some(Err(err)) => interrupted(err.to_string()),
    }
}
