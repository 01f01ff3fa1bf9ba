//! Attempts at a model request, each on another endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use quinn::{RecvStream, SendStream};

use crate::attempt;
use crate::billing;
use crate::catalog;
use crate::control;
use crate::entry;
use crate::entry::{bill, cx, lag};
use crate::errors;
use crate::ids;
use crate::observe;
use crate::poison;
use crate::route;
use crate::runtime;
use crate::session;
use crate::units;
use crate::wire;

/// Attempts at one answer.
const MAX_ATTEMPTS: u16 = 4;

/// Time after the deadline for the sidecar's refusal. Only the sidecar knows
/// whether a request that waited until its deadline was run.
const REFUSAL_GRACE: Duration = Duration::from_millis(100);

/// Makes the attempts at one request.
#[derive(Debug)]
pub struct Dispatcher {
    /// What the tasks share.
    pub cx: cx::Shared,
    /// The request.
    pub ask: entry::Ask,
    /// Its bill.
    pub bill: bill::Bill,
    /// Why the session's version was not kept, where it was not.
    pub moved: Option<session::Moved>,
    /// Attempts that engines have failed.
    pub engine_failures: u32,
    tried: Vec<control::EndpointKey>,
    /// Attempts that may have run.
    ran: usize,
    number: u16,
    left: u16,
}

/// An attempt that an endpoint has taken.
#[derive(Debug)]
pub struct Running {
    /// Its life.
    pub attempt: attempt::Attempt<attempt::Streaming>,
    /// The version's prices.
    pub version: Arc<catalog::Version>,
    /// Replies.
    pub rx: RecvStream,
    /// Chunks of this attempt.
    pub chunks: u64,
    _tx: SendStream,
    _in_flight: control::InFlightGuard,
}

/// What a resumed answer has already.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress<'a> {
    /// Chunks that the caller has.
    pub chunks: u32,
    /// Their text.
    pub text: &'a str,
}

impl Dispatcher {
    /// No attempt yet.
    #[must_use]
    pub fn new(cx: cx::Shared, ask: entry::Ask) -> Self {
        let draft = billing::Draft::new(ask.id, ask.team.clone(), cx.me.vm.clone())
            .for_model(ask.profile.name.clone(), ask.class);
        Self {
            bill: bill::Bill::new(cx.clone(), draft),
            moved: ask.moved,
            engine_failures: 0,
            cx,
            ask,
            tried: Vec::new(),
            ran: 0,
            number: 0,
            left: MAX_ATTEMPTS,
        }
    }

    /// Allows as many attempts as at first, on any endpoint, for another version.
    pub fn reset(&mut self) {
        self.tried.clear();
        self.ran = 0;
        self.left = MAX_ATTEMPTS;
    }

    /// Dispatches the request until an endpoint takes it.
    pub async fn open(
        &mut self,
        pin: Option<route::Pin>,
        progress: Progress<'_>,
    ) -> Result<Running, errors::Refusal> {
        let mut last: Option<errors::Refusal> = None;
        while self.left > 0 {
            let snapshot = self.cx.control.snapshot();
            let route = match self.route(&snapshot, pin.clone()) {
                Ok(route) => route,
                Err(refusal) => return Err(self.refuse(last.unwrap_or(refusal))),
            };
            self.left -= 1;
            self.number += 1;
            observe::metrics().attempt(self.number);
            self.tried.push(route.endpoint);
            self.moved = self.moved.or(route.moved);
            match self.attempt(&snapshot, &route, progress).await {
                Ok(running) => return Ok(running),
                Err(refusal) => {
                    self.bill.record_failure(&refusal);
                    match self.cx.may_retry(refusal) {
                        Ok(refusal) => last = Some(refusal),
                        Err(refusal) => return Err(self.refuse(refusal)),
                    }
                }
            }
        }
        let refusal = last.unwrap_or_else(|| {
            errors::Refusal::new(
                errors::ResultCode::Overloaded,
                "no endpoint took the request",
            )
        });
        Err(self.refuse(refusal))
    }

    fn refuse(&self, refusal: errors::Refusal) -> errors::Refusal {
        self.bill.correct_not_run(cx::hinted(refusal))
    }

    fn route(
        &self,
        snapshot: &control::Snapshot,
        pin: Option<route::Pin>,
    ) -> Result<route::Route, errors::Refusal> {
        let ask = &self.ask;
        // Read again for each attempt: the profile may have changed since.
        let profile = snapshot.profiles.get(&ask.profile.name).ok_or_else(|| {
            errors::Refusal::new(errors::ResultCode::UnknownProfile, "the profile has gone")
        })?;
        let req = route::RouteRequest {
            class: ask.class,
            pin: pin.or_else(|| ask.pin.clone()),
            fingerprint: ask.fingerprint,
            prefix: Some(ask.prefix),
            time_left: ask.time_left(),
            excluded: &self.tried,
            ran: self.ran,
            domain: &self.cx.me.domain,
            region: &self.cx.me.region,
        };
        route::decide(snapshot, profile, &req, &mut fastrand::Rng::new())
    }

    async fn attempt(
        &mut self,
        snapshot: &control::Snapshot,
        route: &route::Route,
        progress: Progress<'_>,
    ) -> Result<Running, errors::Refusal> {
        let unreachable =
            |reason: String| errors::Refusal::new(errors::ResultCode::Unreachable, reason);
        let view = snapshot
            .endpoints
            .get(route.endpoint)
            .ok_or_else(|| unreachable("the endpoint has gone".into()))?;
        let version = prices(snapshot, &self.ask.profile.name, &route.version)
            .ok_or_else(|| unreachable("the version has gone".into()))?;
        self.record(snapshot, route, view);
        let planned = attempt::Attempt::<attempt::Planned>::plan(
            self.ask.id,
            self.number,
            view.vm.clone(),
            route.version.clone(),
            progress.chunks,
        );
        let in_flight = view.in_flight.enter();
        let dispatch = self.dispatch(snapshot, route, progress);
        let opening = wire::Opening::Dispatch(Box::new(dispatch));
        let opened = self.cx.links.open(&view.vm, &opening).await;
        let (tx, mut rx) = opened.map_err(|err| unreachable(err.to_string()))?;
        let dispatched = planned.dispatched();
        let until = self.ask.deadline + REFUSAL_GRACE;
        match runtime::timeout_at(until, wire::read::<wire::Reply>(&mut rx)).await {
            Some(Ok(Some(wire::Reply::Accepted))) => {
                self.mark_ran();
                Ok(Running {
                    attempt: dispatched.accepted(),
                    version,
                    rx,
                    chunks: 0,
                    _tx: tx,
                    _in_flight: in_flight,
                })
            }
            Some(Ok(Some(wire::Reply::Refused { refusal, load }))) => {
                Err(lag::current(refusal, load.config, snapshot.config))
            }
            None => {
                self.mark_ran();
                Err(errors::Refusal::new(
                    errors::ResultCode::DeadlineExceeded,
                    "the deadline passed before an endpoint answered",
                ))
            }
            // A model request may be repeated, so a lost connection is retried
            // although the work may have begun.
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
        self.ran += 1;
        self.bill.mark_ran();
    }

    fn record(
        &mut self,
        snapshot: &control::Snapshot,
        route: &route::Route,
        view: &control::EndpointView,
    ) {
        log::info!(
            "route: request {} team {} profile {} attempt {} to {} in {} on {}, reason {}, load {:.2}.",
            self.ask.id,
            self.ask.team,
            self.ask.profile.name,
            self.number,
            view.vm,
            view.domain,
            route.version,
            route.reason,
            view.load()
        );
        self.bill.begin_attempt(billing::AttemptRecord {
            number: self.number,
            vm: view.vm.clone(),
            domain: view.domain.clone(),
            version: Some(route.version.clone()),
            reason: route.reason,
            config: snapshot.config,
            result: None,
            message: None,
        });
    }

    fn dispatch(
        &self,
        snapshot: &control::Snapshot,
        route: &route::Route,
        progress: Progress<'_>,
    ) -> attempt::Dispatch {
        let ask = &self.ask;
        let suspicion = snapshot.quarantine.suspicion(ask.fingerprint);
        attempt::Dispatch {
            request: ask.id,
            attempt: self.number,
            team: ask.team.clone(),
            time_left: units::Millis::from(ask.deadline.saturating_duration_since(Instant::now())),
            priority: ask.priority,
            fingerprint: ask.fingerprint,
            alone: self.engine_failures > 0 || suspicion == poison::Suspicion::Suspect,
            config: snapshot.config,
            work: attempt::Work::Model {
                profile: ask.profile.name.clone(),
                version: route.version.clone(),
                body: Arc::clone(&ask.chat.body),
                resume_from: progress.chunks,
                resume_text: progress.text.into(),
            },
        }
    }
}

fn prices(
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
