//! A model's answer over one or more attempts.

use std::sync::Arc;
use std::time::Instant;

use quinn::{RecvStream, SendStream};

use crate::attempt;
use crate::control;
use crate::entry;
use crate::entry::cx;
use crate::errors;
use crate::ids;
use crate::observe;
use crate::route;
use crate::runtime;
use crate::units;
use crate::wire;

/// Attempts at one request.
const MAX_ATTEMPTS: u16 = 4;

/// A part of the answer.
#[derive(Clone, Debug)]
pub enum Step {
    /// The next text.
    Text(Arc<str>),
    /// The end.
    End {
        /// Why the model stopped.
        finish: Arc<str>,
        /// What all attempts used.
        usage: attempt::Usage,
    },
}

/// An answer being generated; dropping it cancels the work.
#[derive(Debug)]
pub struct Generation {
    cx: cx::Shared,
    ask: entry::Ask,
    tried: Vec<control::EndpointKey>,
    attempts: u16,
    usage: attempt::Usage,
    text: String,
    running: Running,
}

/// The present attempt.
#[derive(Debug)]
struct Running {
    attempt: attempt::Attempt<attempt::Streaming>,
    rx: RecvStream,
    _tx: SendStream,
    _in_flight: crate::control::InFlightGuard,
}

impl Generation {
    /// Finds an endpoint that takes the request.
    pub async fn start(cx: cx::Shared, ask: entry::Ask) -> Result<Self, errors::Refusal> {
        let mut tried = Vec::new();
        let mut attempts = 0;
        let running = open(&cx, &ask, None, &mut tried, &mut attempts, (0, "")).await?;
        Ok(Self {
            cx,
            ask,
            tried,
            attempts,
            usage: attempt::Usage::default(),
            text: String::new(),
            running,
        })
    }

    /// The version that runs.
    #[must_use]
    pub const fn version(&self) -> &ids::VersionName {
        &self.running.attempt.version
    }

    /// The request.
    #[must_use]
    pub const fn ask(&self) -> &entry::Ask {
        &self.ask
    }

    /// The next part of the answer. An interrupted attempt is resumed on the
    /// same version where its next token is missing.
    pub async fn next(&mut self) -> Result<Step, errors::Refusal> {
        loop {
            let read = runtime::timeout_at(
                self.ask.deadline,
                wire::read::<wire::Reply>(&mut self.running.rx),
            )
            .await;
            let interruption = match read {
                None => {
                    return Err(errors::Refusal::new(
                        errors::ResultCode::DeadlineExceeded,
                        "the deadline passed",
                    ));
                }
                Some(Ok(Some(wire::Reply::Chunk { seq, text }))) => {
                    match self.running.attempt.chunk(seq) {
                        Ok(()) => {
                            self.text.push_str(&text);
                            return Ok(Step::Text(text));
                        }
                        Err(gap) => {
                            errors::Refusal::new(errors::ResultCode::Interrupted, gap.to_string())
                        }
                    }
                }
                Some(Ok(Some(wire::Reply::Done { finish, usage, .. }))) => {
                    self.add(usage);
                    return Ok(Step::End {
                        finish,
                        usage: self.usage,
                    });
                }
                Some(Ok(Some(wire::Reply::Failed { refusal, usage }))) => {
                    self.add(usage);
                    if refusal.code != errors::ResultCode::Interrupted {
                        return Err(refusal);
                    }
                    refusal
                }
                Some(Ok(other)) => errors::Refusal::new(
                    errors::ResultCode::Interrupted,
                    format!("unexpected reply: {other:?}"),
                ),
                Some(Err(err)) => {
                    errors::Refusal::new(errors::ResultCode::Interrupted, err.to_string())
                }
            };
            self.resume(interruption).await?;
        }
    }

    fn add(&mut self, usage: attempt::Usage) {
        self.usage.prompt = self.usage.prompt.max(usage.prompt);
        self.usage.output = self.usage.output.saturating_add(usage.output);
    }

    async fn resume(&mut self, interruption: errors::Refusal) -> Result<(), errors::Refusal> {
        let next_seq = self.running.attempt.next_seq();
        log::warn!(
            "route: request {} interrupted after {next_seq} chunks: {interruption}.",
            self.ask.id
        );
        let version = self.version().clone();
        let resumed = open(
            &self.cx,
            &self.ask,
            Some(version),
            &mut self.tried,
            &mut self.attempts,
            (next_seq, &self.text),
        )
        .await;
        self.running = resumed.map_err(|_| interruption)?;
        Ok(())
    }
}

/// Dispatches the request until an endpoint takes it.
async fn open(
    cx: &cx::Shared,
    ask: &entry::Ask,
    version: Option<ids::VersionName>,
    tried: &mut Vec<control::EndpointKey>,
    attempts: &mut u16,
    resume: (u32, &str),
) -> Result<Running, errors::Refusal> {
    let mut last = None;
    while *attempts < MAX_ATTEMPTS {
        let snapshot = cx.control.snapshot();
        let pin = version
            .clone()
            .map(|version| route::Pin { version, vm: None });
        let req = route::RouteRequest {
            class: ask.class,
            pin,
            prefix: ask.prefix,
            excluded: tried,
            domain: &cx.me.domain,
            region: &cx.me.region,
        };
        let route = match route::decide(&snapshot, &ask.profile, &req, &mut fastrand::Rng::new()) {
            Ok(route) => route,
            Err(refusal) => return Err(last.unwrap_or(refusal)),
        };
        *attempts += 1;
        observe::metrics().attempt(*attempts);
        tried.push(route.endpoint);
        match dispatch(cx, ask, &snapshot, &route, *attempts, resume).await {
            Ok(running) => return Ok(running),
            Err(refusal) if refusal.code.is_retryable() => last = Some(refusal),
            Err(refusal) => return Err(refusal),
        }
    }
    Err(last.unwrap_or_else(|| {
        errors::Refusal::new(
            errors::ResultCode::Overloaded,
            "no endpoint took the request",
        )
    }))
}

async fn dispatch(
    cx: &cx::Shared,
    ask: &entry::Ask,
    snapshot: &control::Snapshot,
    route: &route::Route,
    number: u16,
    resume: (u32, &str),
) -> Result<Running, errors::Refusal> {
    let view = snapshot.endpoints.get(route.endpoint).ok_or_else(|| {
        errors::Refusal::new(errors::ResultCode::Unreachable, "the endpoint has gone")
    })?;
    let reason = if resume.0 > 0 {
        route::Reason::Resume
    } else {
        route.reason
    };
    log::info!(
        "route: request {} team {} profile {} attempt {number} to {} in {} on {}, reason {reason}, load {:.2}.",
        ask.id,
        ask.team,
        ask.profile.name,
        view.vm,
        view.domain,
        route.version,
        view.load()
    );
    let attempt = attempt::Attempt::<attempt::Planned>::plan(
        ask.id,
        number,
        view.vm.clone(),
        route.version.clone(),
        resume.0,
    );
    let in_flight = view.in_flight.enter();
    let opening = wire::Opening::Dispatch(Box::new(frame(ask, snapshot, route, number, resume)));
    let unreachable = |err: wire::WireError| {
        errors::Refusal::new(errors::ResultCode::Unreachable, err.to_string())
    };
    let (tx, mut rx) = cx
        .links
        .open(&view.vm, &opening)
        .await
        .map_err(unreachable)?;
    let attempt = attempt.dispatched();
    match runtime::timeout_at(ask.deadline, wire::read::<wire::Reply>(&mut rx)).await {
        Some(Ok(Some(wire::Reply::Accepted))) => Ok(Running {
            attempt: attempt.accepted(),
            rx,
            _tx: tx,
            _in_flight: in_flight,
        }),
        Some(Ok(Some(wire::Reply::Refused { refusal, .. }))) => Err(refusal),
        Some(Ok(other)) => Err(errors::Refusal::new(
            errors::ResultCode::Unreachable,
            format!("unexpected reply: {other:?}"),
        )),
        // A model request may be repeated, so a lost connection is retried
        // although the work may have begun.
        Some(Err(err)) => Err(errors::Refusal::new(
            errors::ResultCode::Unreachable,
            err.to_string(),
        )),
        None => Err(errors::Refusal::new(
            errors::ResultCode::DeadlineExceeded,
            "the deadline passed",
        )),
    }
}

fn frame(
    ask: &entry::Ask,
    snapshot: &control::Snapshot,
    route: &route::Route,
    number: u16,
    resume: (u32, &str),
) -> attempt::Dispatch {
    attempt::Dispatch {
        request: ask.id,
        attempt: number,
        team: ask.team.clone(),
        time_left: units::Millis::from(ask.deadline.saturating_duration_since(Instant::now())),
        priority: ask.priority,
        fingerprint: ask.fingerprint,
        config: snapshot.config,
        work: attempt::Work::Model {
            profile: ask.profile.name.clone(),
            version: route.version.clone(),
            body: Arc::clone(&ask.chat.body),
            resume_from: resume.0,
            resume_text: resume.1.into(),
        },
    }
}
