//! Stand-in for a model engine.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use smol::Timer;
use smol::channel::{self, Sender};

use crate::http;
use crate::ids;
use crate::runtime;
use crate::settings;
use crate::sidecar;
use crate::standin::serve;
use crate::units;

/// Largest request.
const MAX_BODY: units::Bytes = units::Bytes(4 * 1_024 * 1_024);
/// Tokens generated where the request states no limit.
const DEFAULT_TOKENS: u64 = 16;

/// How a stand-in engine behaves.
#[derive(Clone, Debug)]
pub struct EngineProfile {
    /// Versions loaded.
    pub versions: Vec<ids::VersionName>,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub between_tokens: Duration,
}

/// A running engine; dropping it stops it.
#[derive(Debug)]
pub struct StandinEngine {
    server: http::Server,
}

#[derive(Debug)]
struct Engine {
    profile: EngineProfile,
    boot: Arc<str>,
    traffic: runtime::Traffic,
    running: Arc<AtomicU32>,
}

/// The text of token `i` of the answer of `version` to these messages. It is
/// a function of its arguments, so that a test can tell a whole answer from
/// one with a gap, a repeat or another request's text.
#[must_use]
pub fn answer_token(version: &str, messages: &Value, i: u64) -> String {
    let digest = ids::Digest::of_parts(&[version.as_bytes(), messages.to_string().as_bytes()]);
    format!("{:08x}.{i} ", digest.head() >> 96)
}

/// The whole answer of `tokens` tokens.
#[must_use]
pub fn answer_text(version: &str, messages: &Value, tokens: u64) -> String {
    (0..tokens)
        .map(|i| answer_token(version, messages, i))
        .collect()
}

impl StandinEngine {
    /// Starts an engine on `addr`.
    pub async fn bind(
        addr: SocketAddr,
        profile: EngineProfile,
        traffic: &runtime::Traffic,
    ) -> io::Result<Self> {
        let engine = Arc::new(Engine {
            profile,
            boot: format!("{:016x}", fastrand::u64(..)).into(),
            traffic: traffic.clone(),
            running: Arc::default(),
        });
        let server = http::Server::bind(addr, settings::Limits::default(), traffic, engine).await?;
        Ok(Self { server })
    }

    /// The address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}

impl http::Handler for Engine {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/status") => http::json(StatusCode::OK, &self.status()),
            (&Method::POST, "/v1/chat/completions") => self.complete(req).await,
            _ => http::not_found(),
        }
    }
}

impl Engine {
    fn status(&self) -> sidecar::EngineStatus {
        sidecar::EngineStatus {
            boot: Arc::clone(&self.boot),
            versions: self.profile.versions.clone(),
            running: self.running.load(Ordering::Relaxed),
        }
    }

    async fn complete(&self, req: Request<Incoming>) -> http::Reply {
        let body = http::read_body(req.into_body(), MAX_BODY).await.ok();
        let Some(body) = body.and_then(|body| serde_json::from_slice::<Value>(&body).ok()) else {
            return serve::status(StatusCode::BAD_REQUEST);
        };
        let (tx, rx) = channel::bounded(16);
        let task = generate(self.profile.clone(), body, tx, Arc::clone(&self.running));
        self.traffic.spawn(task).detach();
        http::streamed(StatusCode::OK, "text/event-stream", rx)
    }
}

/// Sends the answer's events; ends when the receiver is gone.
async fn generate(profile: EngineProfile, body: Value, tx: Sender<Bytes>, running: Arc<AtomicU32>) {
    running.fetch_add(1, Ordering::Relaxed);
    stream(&profile, &body, &tx).await;
    running.fetch_sub(1, Ordering::Relaxed);
}

async fn stream(profile: &EngineProfile, body: &Value, tx: &Sender<Bytes>) {
    let version = body["model"].as_str().unwrap_or_default();
    let messages = &body["messages"];
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let from = body["resume"]["from"].as_u64().unwrap_or(0);
    Timer::after(profile.first_token).await;
    for i in from..tokens {
        let delta = json!({ "choices": [{ "index": 0, "delta": { "content": answer_token(version, messages, i) } }] });
        if send(tx, &delta).await.is_err() {
            return;
        }
        Timer::after(profile.between_tokens).await;
    }
    let prompt = messages.to_string().len() / 4;
    let last = json!({
        "choices": [{ "index": 0, "delta": {}, "finish_reason": "length" }],
        "usage": { "prompt_tokens": prompt, "completion_tokens": tokens.saturating_sub(from) },
    });
    if send(tx, &last).await.is_ok() {
        let _ = tx.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
    }
}

async fn send(tx: &Sender<Bytes>, event: &Value) -> Result<(), channel::SendError<Bytes>> {
    tx.send(format!("data: {event}\n\n").into()).await
}
