//! HTTP API of a stand-in engine: completions, status, orders and test control.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use smol::Timer;
use smol::channel::{self, Receiver, Sender};

use crate::http;
use crate::ids;
use crate::runtime;
use crate::standin::answer;
use crate::standin::engine_core;
use crate::standin::engine_orders;
use crate::standin::engine_profile;
use crate::standin::serve;

/// Tokens generated if the request sets no `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;
/// Events buffered for a slow reader before generation pauses.
const STREAM_BUFFER: usize = 16;

/// A command for the engine, sent as the body of `POST /standin/control`.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineCommand {
    /// Makes the engine cold without a new boot id.
    TurnCold,
    /// Closes all connections and restarts cold, with a new boot id.
    Crash,
    /// Replaces the behaviour; loaded versions stay.
    Profile(Box<engine_profile::EngineProfile>),
}

/// State, connections and executor of one stand-in engine.
#[derive(Debug)]
pub struct Engine {
    core: Mutex<engine_core::Core>,
    connections: http::Connections,
    pub(super) traffic: runtime::Traffic,
}

/// An answer being generated; frees its batch slot when dropped.
struct Generation {
    engine: Arc<Engine>,
    ticket: engine_core::Ticket,
    version: ids::VersionName,
    body: Value,
    is_finished: bool,
}

impl Generation {
    /// Counts the answer and frees its batch slot. Both happen before the end
    /// marker is sent, so that a caller with the complete answer finds it
    /// counted and the slot free.
    fn finish(&mut self) {
        let mut core = self.engine.lock();
        core.answered(&self.version, &self.body["messages"]);
        core.release_slot(self.ticket.epoch);
        self.is_finished = true;
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if !self.is_finished {
            let mut core = self.engine.lock();
            core.release_slot(self.ticket.epoch);
            core.stats.cancelled += 1;
        }
    }
}

impl http::Handler for EngineHandler {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        let engine = &self.0;
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/status") => {
                let status = engine.lock().status();
                http::json(StatusCode::OK, &status)
            }
            (&Method::POST, "/v1/chat/completions") => complete(engine, req).await,
            (&Method::POST, "/orders") => engine_orders::accept_order(engine, req).await,
            (_, "/standin/control") => serve::control(req, |command| engine.control(command)).await,
            (_, "/standin/stats") => {
                let stats = engine.lock().stats;
                http::json(StatusCode::OK, &stats)
            }
            (_, "/standin/served") => {
                let served = engine.lock().served();
                http::json(StatusCode::OK, &served)
            }
            _ => http::not_found(),
        }
    }
}

/// Adapter that serves a shared engine as an HTTP handler.
#[derive(Debug)]
pub struct EngineHandler(pub Arc<Engine>);

impl Engine {
    pub(super) fn new(
        profile: engine_profile::EngineProfile,
        connections: http::Connections,
        traffic: runtime::Traffic,
    ) -> Self {
        Self {
            core: Mutex::new(engine_core::Core::new(profile)),
            connections,
            traffic,
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, engine_core::Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn control(&self, command: EngineCommand) {
        match command {
            EngineCommand::TurnCold => self.lock().turn_cold(),
            EngineCommand::Crash => self.crash(),
            EngineCommand::Profile(profile) => self.lock().profile = *profile,
        }
    }

    /// Simulates a crash: restarts cold with a new boot id and closes all connections.
    pub(super) fn crash(&self) {
        self.lock().restart();
        self.connections.sever();
    }
}

/// Handles a completion request; answers 404 if the version is not loaded and
/// crashes the engine if the request is fatal to it.
async fn complete(engine: &Arc<Engine>, req: Request<Incoming>) -> http::Reply {
    let Some(body) = serve::read_json::<Value>(req).await else {
        return serve::status(StatusCode::BAD_REQUEST);
    };
    let version = body["model"].as_str().and_then(|name| name.parse().ok());
    let Some(version) = version.filter(|version| engine.lock().versions.contains(version)) else {
        return serve::status(StatusCode::NOT_FOUND);
    };
    let priority = parse_priority(&body["priority"]);
    let accepted = {
        let mut core = engine.lock();
        // The engine was killed while this request was being read.
        if core.down {
            return http::abort_connection();
        }
        core.accept(&version, &body["messages"], priority)
    };
    let Ok((ticket, slot_ready)) = accepted else {
        engine.crash();
        return http::abort_connection();
    };
    let (tx, rx) = channel::bounded(STREAM_BUFFER);
    let engine = Arc::clone(engine);
    let traffic = engine.traffic.clone();
    traffic
        .spawn(generate(engine, ticket, slot_ready, version, body, tx))
        .detach();
    http::streamed(StatusCode::OK, "text/event-stream", rx)
}

/// Parses a scheduling priority, of which lower values run earlier. Accepts a
/// number, as real engines do, or `high` and `low`; anything else counts as 0.
fn parse_priority(value: &Value) -> i64 {
    match value.as_str() {
        Some("high") => -1,
        Some("low") => 1,
        _ => value.as_i64().unwrap_or(0),
    }
}

/// Waits for a batch slot, then streams the answer's events; stops when the
/// receiver is dropped.
async fn generate(
    engine: Arc<Engine>,
    ticket: engine_core::Ticket,
    slot_ready: Receiver<()>,
    version: ids::VersionName,
    body: Value,
    tx: Sender<Bytes>,
) {
    if slot_ready.recv().await.is_err() {
        return;
    }
    let mut generation = Generation {
        engine,
        ticket,
        version,
        body,
        is_finished: false,
    };
    if !tx.is_closed() && stream(&mut generation, &tx).await.is_err() {
        log::debug!("standin: the caller disconnected before its answer was complete.");
    }
}

/// Streams the tokens from `resume.from` on, then usage and the end marker.
async fn stream(
    generation: &mut Generation,
    tx: &Sender<Bytes>,
) -> Result<(), channel::SendError<Bytes>> {
    let body = &generation.body;
    let messages = &body["messages"];
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let from = body["resume"]["from"].as_u64().unwrap_or(0);
    let token_prefix = answer::token_prefix(generation.version.as_str(), messages);
    Timer::after(first_token_delay(generation)).await;
    for i in from..tokens {
        if i > from {
            let pause = generation.engine.lock().between_tokens();
            Timer::after(pause).await;
        }
        let delta = json!({ "choices": [{ "index": 0, "delta": { "content": answer::token_text(&token_prefix, i) } }] });
        send_event(tx, &delta).await?;
    }
    let prompt_tokens = messages.to_string().len() / 4;
    let last = json!({
        "choices": [{ "index": 0, "delta": {}, "finish_reason": "length" }],
        "usage": { "prompt_tokens": prompt_tokens, "completion_tokens": tokens.saturating_sub(from) },
    });
    send_event(tx, &last).await?;
    generation.finish();
    tx.send(Bytes::from_static(b"data: [DONE]\n\n")).await
}

/// Returns the simulated time to the first token, shorter on a cache hit.
fn first_token_delay(generation: &Generation) -> Duration {
    let core = generation.engine.lock();
    if generation.ticket.cached {
        core.profile.cached_first_token_ms.duration()
    } else {
        core.profile.first_token_ms.duration()
    }
}

/// Sends one server-sent event; fails if the receiver is dropped.
async fn send_event(tx: &Sender<Bytes>, event: &Value) -> Result<(), channel::SendError<Bytes>> {
    tx.send(format!("data: {event}\n\n").into()).await
}
