//! Dispatches a model request, in one or more attempts on different endpoints.

use std::sync::Arc;
use std::time::{Duration, Instant};

use quinn::{RecvStream, SendStream};

use crate::attempt;
use crate::billing;
use crate::catalog;
use crate::control;
use crate::entry;
use crate::entry::{bill, config_lag, cx};
use crate::errors;
use crate::ids;
use crate::observe;
use crate::poison;
use crate::route;
use crate::runtime;
use crate::session;
use crate::units;
use crate::wire;

/// Maximum number of attempts at one answer of one version.
const MAX_ATTEMPTS: u16 = 4;

/// Time after the deadline for the sidecar's refusal to arrive. Only the sidecar can
/// tell whether a request that waited until its deadline was run.
const REFUSAL_GRACE: Duration = Duration::from_millis(100);

/// Makes the attempts at one request and bills them.
#[derive(Debug)]
pub struct Dispatcher {
    /// Context that the tasks share.
    pub cx: cx::Shared,
    /// The request that is dispatched.
    pub request: entry::ModelRequest,
    /// Bill of the request.
    pub bill: bill::Bill,
    /// Reason why the session's version was not kept; `None` if it was.
    pub moved: Option<session::MoveReason>,
    /// Number of attempts that failed because of their engine.
    pub engine_failures: u32,
    tried: Vec<control::EndpointKey>,
    /// Number of attempts that may have run, on the current version.
    attempts_run: usize,
    attempt_number: u16,
    attempts_left: u16,
}

/// An attempt that an endpoint has accepted.
#[derive(Debug)]
pub struct RunningAttempt {
    /// Life cycle of the attempt; checks the order of the chunks.
    pub attempt: attempt::Attempt<attempt::Streaming>,
    /// Version that runs, with its prices.
    pub version: Arc<catalog::Version>,
    /// Stream of the sidecar's replies.
    pub rx: RecvStream,
    /// Number of chunks received in this attempt.
    pub chunks: u64,
    _tx: SendStream,
    _in_flight: control::InFlightGuard,
}

/// The part of the answer that exists already; empty for a new answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResumePoint<'a> {
    /// Number of chunks that the answer has so far.
    pub chunks: u32,
    /// Text of these chunks.
    pub text: &'a str,
}

impl Dispatcher {
    /// Creates a dispatcher that has made no attempt yet.
    #[must_use]
    pub fn new(cx: cx::Shared, request: entry::ModelRequest) -> Self {
        let draft = billing::Draft::new(request.id, request.team.clone(), cx.identity.vm.clone())
            .for_model(request.profile.name.clone(), request.class);
        Self {
            bill: bill::Bill::new(cx.clone(), draft),
            moved: request.moved,
            engine_failures: 0,
            cx,
            request,
            tried: Vec::new(),
            attempts_run: 0,
            attempt_number: 0,
            attempts_left: MAX_ATTEMPTS,
        }
    }

    /// Restores the full number of attempts, on any endpoint, for another version.
    pub fn reset(&mut self) {
        self.tried.clear();
        self.attempts_run = 0;
        self.attempts_left = MAX_ATTEMPTS;
    }

    /// Dispatches the request to one endpoint after the other until one accepts it.
    /// `pin` overrides the pin of the session.
    pub async fn dispatch_until_accepted(
        &mut self,
        pin: Option<route::Pin>,
        resume: ResumePoint<'_>,
    ) -> Result<RunningAttempt, errors::Refusal> {
        let mut last_refusal: Option<errors::Refusal> = None;
        while self.attempts_left > 0 {
            let snapshot = self.cx.control.snapshot();
            let route = match self.choose_route(&snapshot, pin.clone()) {
                Ok(route) => route,
                Err(refusal) => return Err(self.final_refusal(last_refusal.unwrap_or(refusal))),
            };
            self.attempts_left -= 1;
            self.attempt_number += 1;
            observe::metrics().record_attempt(self.attempt_number);
            self.tried.push(route.endpoint);
            self.moved = self.moved.or(route.moved);
            match self.attempt_on(&snapshot, &route, resume).await {
                Ok(running) => return Ok(running),
                Err(refusal) => {
                    self.bill.record_failure(&refusal);
                    match self.cx.check_retry(refusal) {
                        Ok(refusal) => last_refusal = Some(refusal),
                        Err(refusal) => return Err(self.final_refusal(refusal)),
                    }
                }
            }
        }
        let refusal = last_refusal.unwrap_or_else(|| {
            errors::Refusal::new(
                errors::ResultCode::Overloaded,
                "no endpoint took the request",
            )
        });
        Err(self.final_refusal(refusal))
    }

    fn final_refusal(&self, refusal: errors::Refusal) -> errors::Refusal {
        self.bill.correct_not_run(cx::with_retry_hint(refusal))
    }

    fn choose_route(
        &self,
        snapshot: &control::Snapshot,
        pin: Option<route::Pin>,
    ) -> Result<route::Route, errors::Refusal> {
        let request = &self.request;
        // Looked up for each attempt, since the profile may have changed.
        let profile = snapshot
            .profiles
            .get(&request.profile.name)
            .ok_or_else(|| {
                errors::Refusal::new(errors::ResultCode::UnknownProfile, "the profile has gone")
            })?;
        let req = route::RouteRequest {
            class: request.class,
            pin: pin.or_else(|| request.pin.clone()),
            fingerprint: request.fingerprint,
            prefix: Some(request.prefix),
            time_left: request.time_left(),
            excluded: &self.tried,
            possible_executions: self.attempts_run,
            domain: &self.cx.identity.domain,
            region: &self.cx.identity.region,
        };
        route::decide(snapshot, profile, &req, &mut fastrand::Rng::new())
    }

    async fn attempt_on(
        &mut self,
        snapshot: &control::Snapshot,
        route: &route::Route,
        resume: ResumePoint<'_>,
    ) -> Result<RunningAttempt, errors::Refusal> {
        let unreachable =
            |reason: String| errors::Refusal::new(errors::ResultCode::Unreachable, reason);
        let view = snapshot
            .endpoints
            .get(route.endpoint)
            .ok_or_else(|| unreachable("the endpoint has gone".into()))?;
        let version = find_version(snapshot, &self.request.profile.name, &route.version)
            .ok_or_else(|| unreachable("the version has gone".into()))?;
        self.record_attempt(snapshot, route, view);
        let planned = attempt::Attempt::<attempt::Planned>::plan(
            self.request.id,
            self.attempt_number,
            view.vm.clone(),
            route.version.clone(),
            resume.chunks,
        );
        let in_flight = view.in_flight.enter();
        let dispatch = self.build_dispatch(snapshot, route, resume);
        let opening = wire::StreamOpening::Dispatch(Box::new(dispatch));
        let opened = self.cx.links.open_stream(&view.vm, &opening).await;
        let (tx, mut rx) = opened.map_err(|err| unreachable(err.to_string()))?;
        let dispatched = planned.dispatched();
        let reply_deadline = self.request.deadline + REFUSAL_GRACE;
        match runtime::timeout_at(reply_deadline, wire::read::<wire::Reply>(&mut rx)).await {
            Some(Ok(Some(wire::Reply::Accepted))) => {
                self.mark_ran();
                Ok(RunningAttempt {
                    attempt: dispatched.accepted(),
                    version,
                    rx,
                    chunks: 0,
                    _tx: tx,
                    _in_flight: in_flight,
                })
            }
            Some(Ok(Some(wire::Reply::Refused { refusal, load }))) => {
                Err(config_lag::correct(refusal, load.config, snapshot.config))
            }
            None => {
                self.mark_ran();
                Err(errors::Refusal::new(
                    errors::ResultCode::DeadlineExceeded,
                    "the deadline passed before an endpoint answered",
                ))
            }
            // Model requests are idempotent, so the attempt is retried after a lost
            // connection although the work may have begun.
            Some(other) => {
                self.mark_ran();
                Err(unreachable(match other {
                    Ok(reply) => format!("unexpected reply: {reply:?}"),
                    Err(err) => err.to_string(),
                }))
            }
        }
    }

    fn mark_ran(&mut self) {
        self.attempts_run += 1;
        self.bill.mark_ran();
    }

    fn record_attempt(
        &mut self,
        snapshot: &control::Snapshot,
        route: &route::Route,
        view: &control::EndpointView,
    ) {
        log::info!(
            "route: request {} team {} profile {} attempt {} to {} in {} on {}, reason {}, load {:.2}.",
            self.request.id,
            self.request.team,
            self.request.profile.name,
            self.attempt_number,
            view.vm,
            view.domain,
            route.version,
            route.reason,
            view.load()
        );
        self.bill.begin_attempt(billing::AttemptRecord {
            number: self.attempt_number,
            vm: view.vm.clone(),
            domain: view.domain.clone(),
            version: Some(route.version.clone()),
            reason: route.reason,
            config: snapshot.config,
            result: None,
            message: None,
        });
    }

    fn build_dispatch(
        &self,
        snapshot: &control::Snapshot,
        route: &route::Route,
        resume: ResumePoint<'_>,
    ) -> attempt::Dispatch {
        let request = &self.request;
        let suspicion = snapshot.quarantine.suspicion(request.fingerprint);
        attempt::Dispatch {
            request: request.id,
            attempt: self.attempt_number,
            team: request.team.clone(),
            time_left: units::Millis::from(
                request.deadline.saturating_duration_since(Instant::now()),
            ),
            priority: request.priority,
            fingerprint: request.fingerprint,
            alone: self.engine_failures > 0 || suspicion == poison::Suspicion::Suspect,
            config: snapshot.config,
            work: attempt::Work::Model {
                profile: request.profile.name.clone(),
                version: route.version.clone(),
                body: Arc::clone(&request.chat.body),
                resume_from: resume.chunks,
                resume_text: resume.text.into(),
            },
        }
    }
}

fn find_version(
    snapshot: &control::Snapshot,
    profile: &ids::ProfileName,
    version: &ids::VersionName,
) -> Option<Arc<catalog::Version>> {
    let profile = snapshot.profiles.get(profile)?;
    let entering = profile.rollouts.iter().map(|rollout| &rollout.version);
    let mut views = profile.versions.iter().chain(entering);
    let view = views.find(|view| view.name == *version)?;
    Some(Arc::clone(&view.version))
}
