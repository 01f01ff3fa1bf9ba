//! The HTTP API of a stand-in engine.

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

/// Tokens generated where the request states no limit.
const DEFAULT_TOKENS: u64 = 16;
/// Events that wait for a slow reader before generation pauses.
const STREAM_BUFFER: usize = 16;

/// Control of the engine; the body of `POST /standin/control`.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineCommand {
    /// Becomes cold without warning and without a new boot id.
    TurnCold,
    /// Drops all connections and starts again, cold.
    Crash,
    /// Changes the behaviour; loaded versions stay.
    Profile(Box<engine_profile::EngineProfile>),
}

#[derive(Debug)]
pub struct Engine {
    core: Mutex<engine_core::Core>,
    connections: http::Connections,
    pub(super) traffic: runtime::Traffic,
}

/// One answer that is being generated; leaves the batch when dropped.
struct Generation {
    engine: Arc<Engine>,
    ticket: engine_core::Ticket,
    version: ids::VersionName,
    body: Value,
    done: bool,
}

impl Generation {
    /// Counts the answer and leaves the batch. Both come before the end is
    /// sent, so that a caller that has the whole answer finds it counted and
    /// its place free.
    fn end(&mut self) {
        let mut core = self.engine.lock();
        core.answered(&self.version, &self.body["messages"]);
        core.leave(self.ticket.epoch);
        self.done = true;
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if !self.done {
            let mut core = self.engine.lock();
            core.leave(self.ticket.epoch);
            core.stats.cancelled += 1;
        }
    }
}

impl http::Handler for Shared {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        let engine = &self.0;
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/status") => {
                let status = engine.lock().status();
                http::json(StatusCode::OK, &status)
            }
            (&Method::POST, "/v1/chat/completions") => complete(engine, req).await,
            (&Method::POST, "/orders") => engine_orders::order(engine, req).await,
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

/// The engine as the server's handler.
#[derive(Debug)]
pub struct Shared(pub Arc<Engine>);

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

    /// Drops all connections and starts again.
    pub(super) fn crash(&self) {
        self.lock().restart();
        self.connections.sever();
    }
}

async fn complete(engine: &Arc<Engine>, req: Request<Incoming>) -> http::Reply {
    let Some(body) = serve::read_json::<Value>(req).await else {
        return serve::status(StatusCode::BAD_REQUEST);
    };
    let version = body["model"].as_str().and_then(|name| name.parse().ok());
    let Some(version) = version.filter(|version| engine.lock().versions.contains(version)) else {
        return serve::status(StatusCode::NOT_FOUND);
    };
    let priority = priority(&body["priority"]);
    let accepted = {
        let mut core = engine.lock();
        // A request that was being read when the engine was killed.
        if core.down {
            return http::abandoned();
        }
        core.accept(&version, &body["messages"], priority)
    };
    let Ok((ticket, turn)) = accepted else {
        engine.crash();
        return http::abandoned();
    };
    let (tx, rx) = channel::bounded(STREAM_BUFFER);
    let engine = Arc::clone(engine);
    let traffic = engine.traffic.clone();
    traffic
        .spawn(generate(engine, ticket, turn, version, body, tx))
        .detach();
    http::streamed(StatusCode::OK, "text/event-stream", rx)
}

/// Lower runs earlier; engines take a number, and the names are accepted too.
fn priority(value: &Value) -> i64 {
    match value.as_str() {
        Some("high") => -1,
        Some("low") => 1,
        _ => value.as_i64().unwrap_or(0),
    }
}

/// Waits for a place in the batch and sends the answer's events; ends when
/// the receiver is gone.
async fn generate(
    engine: Arc<Engine>,
    ticket: engine_core::Ticket,
    turn: Receiver<()>,
    version: ids::VersionName,
    body: Value,
    tx: Sender<Bytes>,
) {
    if turn.recv().await.is_err() {
        return;
    }
    let mut generation = Generation {
        engine,
        ticket,
        version,
        body,
        done: false,
    };
    if !tx.is_closed() && stream(&mut generation, &tx).await.is_err() {
        log::debug!("standin: a caller of the engine has gone.");
    }
}

async fn stream(
    generation: &mut Generation,
    tx: &Sender<Bytes>,
) -> Result<(), channel::SendError<Bytes>> {
    let body = &generation.body;
    let messages = &body["messages"];
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let from = body["resume"]["from"].as_u64().unwrap_or(0);
    let stem = answer::stem(generation.version.as_str(), messages);
    Timer::after(first_token(generation)).await;
    for i in from..tokens {
        if i > from {
            let pause = generation.engine.lock().between_tokens();
            Timer::after(pause).await;
        }
        let delta =
            json!({ "choices": [{ "index": 0, "delta": { "content": answer::token(&stem, i) } }] });
        send(tx, &delta).await?;
    }
    let prompt = messages.to_string().len() / 4;
    let last = json!({
        "choices": [{ "index": 0, "delta": {}, "finish_reason": "length" }],
        "usage": { "prompt_tokens": prompt, "completion_tokens": tokens.saturating_sub(from) },
    });
    send(tx, &last).await?;
    generation.end();
    tx.send(Bytes::from_static(b"data: [DONE]\n\n")).await
}

fn first_token(generation: &Generation) -> Duration {
    let core = generation.engine.lock();
    if generation.ticket.cached {
        core.profile.cached_first_token_ms.duration()
    } else {
        core.profile.first_token_ms.duration()
    }
}

async fn send(tx: &Sender<Bytes>, event: &Value) -> Result<(), channel::SendError<Bytes>> {
    tx.send(format!("data: {event}\n\n").into()).await
}
