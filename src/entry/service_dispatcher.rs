//! Dispatches a call to a plain service, in one or more attempts.

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

/// Maximum number of attempts at one call.
const MAX_ATTEMPTS: usize = 4;
/// Time after the deadline for the sidecar to report the outcome itself.
const OUTCOME_GRACE: Duration = Duration::from_millis(500);

/// Makes the attempts at one call, each on another endpoint.
#[derive(Debug)]
pub struct ServiceDispatcher {
    /// Context that the tasks share.
    pub cx: cx::Shared,
    /// The call that is dispatched.
    pub request: entry::ServiceRequest,
    /// Bill of the call.
    pub bill: bill::Bill,
    tried: Vec<control::EndpointKey>,
    /// Number of attempts that may have run.
    attempts_run: usize,
}

/// Failure of an attempt that produced no answer.
#[derive(Clone, Debug)]
pub enum Failure {
    /// The attempt has not run and never will.
    NotRun(errors::Refusal),
    /// The attempt may have run.
    MayHaveRun(errors::Refusal),
}

impl ServiceDispatcher {
    /// Creates a dispatcher that has made no attempt yet.
    #[must_use]
    pub fn new(cx: cx::Shared, request: entry::ServiceRequest) -> Self {
        let draft = billing::Draft::new(request.id, request.team.clone(), cx.identity.vm.clone())
            .for_service(request.service.clone());
        Self {
            bill: bill::Bill::new(cx.clone(), draft),
            cx,
            request,
            tried: Vec::new(),
            attempts_run: 0,
        }
    }

    /// Runs an idempotent call, which is retried even if it may have run.
    pub async fn run_idempotent(&mut self) -> Result<attempt::ServiceAnswer, errors::Refusal> {
        let mut last_refusal: Option<errors::Refusal> = None;
        while !self.is_exhausted() {
            let snapshot = self.cx.control.snapshot();
            let endpoint = match self.choose_endpoint(&snapshot) {
                Ok(endpoint) => endpoint,
                Err(refusal) => return Err(self.final_refusal(last_refusal.unwrap_or(refusal))),
            };
            let refusal = match self.attempt_on(&snapshot, endpoint, None).await {
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
            match self.cx.check_retry(refusal) {
                Ok(refusal) => last_refusal = Some(refusal),
                Err(refusal) => return Err(self.final_refusal(refusal)),
            }
        }
        let refusal = last_refusal.unwrap_or_else(|| {
            errors::Refusal::new(errors::ResultCode::Overloaded, "no endpoint took the call")
        });
        Err(self.final_refusal(refusal))
    }

    fn final_refusal(&self, refusal: errors::Refusal) -> errors::Refusal {
        self.bill.correct_not_run(cx::with_retry_hint(refusal))
    }

    /// Returns whether all attempts are used up.
    #[must_use]
    pub const fn is_exhausted(&self) -> bool {
        self.tried.len() >= MAX_ATTEMPTS
    }

    /// Chooses an endpoint that has not been tried. Fails if there is none.
    pub fn choose_endpoint(
        &self,
        snapshot: &control::Snapshot,
    ) -> Result<control::EndpointKey, errors::Refusal> {
        let req = route::RouteRequest {
            class: estimate::RequestClass::default(),
            pin: None,
            fingerprint: self.request.fingerprint(),
            prefix: None,
            time_left: self.request.time_left(),
            excluded: &self.tried,
            possible_executions: self.attempts_run,
            domain: &self.cx.identity.domain,
            region: &self.cx.identity.region,
        };
        route::decide_service(
            snapshot,
            &self.request.service,
            &req,
            &mut fastrand::Rng::new(),
        )
    }

    /// Makes one attempt on `endpoint`. `call` is the claim of a non-idempotent call.
    pub async fn attempt_on(
        &mut self,
        snapshot: &control::Snapshot,
        endpoint: control::EndpointKey,
        call: Option<attempt::CallRef>,
    ) -> Result<attempt::ServiceAnswer, Failure> {
        let result = self.exchange(snapshot, endpoint, call).await;
        if !matches!(result, Err(Failure::NotRun(_))) {
            self.attempts_run += 1;
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
        self.record_attempt(snapshot, view);
        let _in_flight = view.in_flight.enter();
        if !self.cx.links.is_up(&view.vm) {
            return Err(Failure::NotRun(unreachable("not connected".into())));
        }
        let opening = wire::StreamOpening::Dispatch(Box::new(self.build_dispatch(snapshot, call)));
        // From here on the sidecar may have received the call, whatever the error.
        let opened = self.cx.links.open_stream(&view.vm, &opening).await;
        let (_tx, mut rx) = match opened {
            Ok(stream) => stream,
            Err(err) => {
                self.bill.mark_ran();
                return Err(Failure::MayHaveRun(unreachable(err.to_string())));
            }
        };
        loop {
            let read = wire::read::<wire::Reply>(&mut rx);
            match runtime::timeout_at(self.request.deadline + OUTCOME_GRACE, read).await {
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
                    return Err(Failure::MayHaveRun(failure_reason(other)));
                }
            }
        }
    }

    fn record_attempt(&mut self, snapshot: &control::Snapshot, view: &control::EndpointView) {
        let number = u16::try_from(self.tried.len()).unwrap_or(u16::MAX);
        log::info!(
            "route: request {} team {} service {} {} attempt {number} to {} in {}, load {:.2}.",
            self.request.id,
            self.request.team,
            self.request.service,
            self.request.method,
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

    fn build_dispatch(
        &self,
        snapshot: &control::Snapshot,
        call: Option<attempt::CallRef>,
    ) -> attempt::Dispatch {
        let request = &self.request;
        attempt::Dispatch {
            request: request.id,
            attempt: u16::try_from(self.tried.len()).unwrap_or(u16::MAX),
            team: request.team.clone(),
            time_left: request.time_left(),
            priority: request.priority,
            fingerprint: request.fingerprint(),
            alone: false,
            config: snapshot.config,
            work: attempt::Work::Service {
                service: request.service.clone(),
                method: Arc::clone(&request.method),
                path: Arc::clone(&request.path),
                content_type: request.content_type.clone(),
                body: request.body.clone(),
                call,
            },
        }
    }
}

fn failure_reason(read: Option<Result<Option<wire::Reply>, wire::WireError>>) -> errors::Refusal {
    let interrupted =
        |reason: String| errors::Refusal::new(errors::ResultCode::Interrupted, reason);
    match read {
        None => errors::Refusal::new(errors::ResultCode::DeadlineExceeded, "the deadline passed"),
        Some(Ok(Some(wire::Reply::Failed { refusal, .. }))) => refusal,
        Some(Ok(reply)) => interrupted(format!("unexpected reply: {reply:?}")),
        Some(Err(err)) => interrupted(err.to_string()),
    }
}
