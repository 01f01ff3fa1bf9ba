//! Client of a model engine: the chat-completions HTTP API with streaming.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request};
use serde::Deserialize;
use serde_json::Value;

use crate::attempt;
use crate::errors;
use crate::fleet;
use crate::http;
use crate::ids;
use crate::runtime;
use crate::units;

/// Time for an engine's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest status.
const MAX_STATUS: units::Bytes = units::Bytes(256 * 1_024);
/// Time for an order; the engine answers once it has accepted it.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// Header in which an engine may name its boot id.
const BOOT_HEADER: &str = "x-engine-boot";
/// Largest event of a stream.
const MAX_EVENT: usize = 256 * 1_024;

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineStatus {
    /// Changes when the engine starts again.
    pub boot: Arc<str>,
    /// Versions loaded.
    pub versions: Vec<ids::VersionName>,
    /// Requests that the engine runs.
    pub running: u32,
}

/// A part of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The next token's text.
    Text(Arc<str>),
    /// The end.
    End {
        /// Why the model stopped.
        finish: Arc<str>,
        /// Tokens of this answer.
        usage: attempt::Usage,
    },
}

/// Client of the engine.
#[derive(Clone, Debug)]
pub struct Engine {
    http: http::Client,
}

/// An answer that the engine is generating; dropping it cancels the work.
#[derive(Debug)]
pub struct EngineStream {
    answer: http::Answer,
    boot: Option<Arc<str>>,
    sse: http::SseReader,
    ready: VecDeque<EngineEvent>,
    usage: attempt::Usage,
    finish: Option<Arc<str>>,
}

/// Why an answer has not begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The request is not one that the engine could be given.
    Body(Arc<str>),
    /// The engine answered with this HTTP status.
    Status(u16),
    /// The exchange failed.
    Http(http::HttpError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Body(reason) => write!(f, "cannot pass the request on: {reason}"),
            Self::Status(status) => write!(f, "answered with status {status}"),
            Self::Http(err) => err.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}

impl Engine {
    /// A client of the engine at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self {
            http: http::Client::new(addr, traffic),
        }
    }

    /// Asks the engine for its status.
    pub async fn status(&self) -> Result<EngineStatus, http::HttpError> {
        let req = Request::builder()
            .uri("/status")
            .body(Full::default())
            .map_err(malformed)?;
        self.http
            .send(req, STATUS_TIMEOUT)
            .await?
            .json(MAX_STATUS)
            .await
    }

    /// Starts an answer.
    pub async fn start(
        &self,
        work: &attempt::Work,
        priority: attempt::Priority,
        timeout: Duration,
    ) -> Result<EngineStream, StartError> {
        let body = engine_body(work, priority)?;
        let req = Request::builder()
            .method(Method::POST)
            .uri("/v1/chat/completions")
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(unfit)?;
        let answer = self
            .http
            .send(req, timeout)
            .await
            .map_err(StartError::Http)?;
        if !answer.status.is_success() {
            return Err(StartError::Status(answer.status.as_u16()));
        }
        let boot = answer
            .headers
            .get(BOOT_HEADER)
            .and_then(|value| value.to_str().ok())
            .map(Arc::from);
        Ok(EngineStream {
            answer,
            boot,
            sse: http::SseReader::default(),
            ready: VecDeque::new(),
            usage: attempt::Usage::default(),
            finish: None,
        })
    }

    /// Gives the engine an order.
    pub async fn order(
        &self,
        fence: ids::Fence,
        action: &fleet::OrderAction,
    ) -> Result<(), errors::Refusal> {
        let action = match action {
            fleet::OrderAction::Load(version) => serde_json::json!({ "load": version }),
            fleet::OrderAction::Unload(version) => serde_json::json!({ "unload": version }),
        };
        let body = serde_json::json!({ "fence": fence, "action": action }).to_string();
        let failed = |err: http::HttpError| {
            let code = if err.is_not_sent() {
                errors::ResultCode::Unreachable
            } else {
                errors::ResultCode::OutcomeUnknown
            };
            errors::Refusal::new(code, format!("engine: {err}"))
        };
        let req = Request::builder()
            .method(Method::POST)
            .uri("/orders")
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| failed(malformed(err)))?;
        let answer = self.http.send(req, ORDER_TIMEOUT).await.map_err(failed)?;
        let status = answer.status;
        let _ = answer.bytes(MAX_STATUS).await;
        let code = match status.as_u16() {
            200..=299 => return Ok(()),
            409 => errors::ResultCode::StaleFence,
            503 => errors::ResultCode::Overloaded,
            _ => errors::ResultCode::Internal,
        };
        Err(errors::Refusal::new(
            code,
            format!("engine: answered with status {status}"),
        ))
    }
}

fn unfit(err: impl fmt::Display) -> StartError {
    StartError::Body(err.to_string().into())
}

/// The caller's request with the fields that the router decides.
fn engine_body(work: &attempt::Work, priority: attempt::Priority) -> Result<Value, StartError> {
    let attempt::Work::Model {
        version,
        body,
        resume_from,
        resume_text,
        ..
    } = work
    else {
        return Err(StartError::Body("not a model request".into()));
    };
    let mut body: Value = serde_json::from_str(body).map_err(unfit)?;
    let fields = body
        .as_object_mut()
        .ok_or_else(|| StartError::Body("not an object".into()))?;
    fields.insert("model".into(), Value::from(version.as_str()));
    fields.insert("priority".into(), Value::from(priority.to_string()));
    fields.insert("stream".into(), Value::from(true));
    fields.insert(
        "stream_options".into(),
        serde_json::json!({ "include_usage": true }),
    );
    if *resume_from > 0 {
        fields.insert(
            "resume".into(),
            serde_json::json!({ "from": resume_from, "text": resume_text }),
        );
    }
    Ok(body)
}

fn malformed(err: impl std::fmt::Display) -> http::HttpError {
    http::HttpError::Malformed(err.to_string().into())
}

impl EngineStream {
    /// The next part; an error where the stream breaks off before its end.
    pub async fn next(&mut self) -> Result<EngineEvent, http::HttpError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            while let Some(data) = self.sse.next_data() {
                self.take(&data)?;
            }
            if !self.ready.is_empty() {
                continue;
            }
            if self.sse.pending() > MAX_EVENT {
                return Err(http::HttpError::TooLarge);
            }
            match self.answer.chunk().await? {
                Some(chunk) => self.sse.push(&chunk),
                None => {
                    return Err(http::HttpError::Broken(
                        "the engine ended its stream early".into(),
                    ));
                }
            }
        }
    }

    /// The engine's boot id, where it names it in its answers.
    #[must_use]
    pub const fn boot(&self) -> Option<&Arc<str>> {
        self.boot.as_ref()
    }

    /// Tokens so far.
    #[must_use]
    pub const fn usage(&self) -> attempt::Usage {
        self.usage
    }

    fn take(&mut self, data: &str) -> Result<(), http::HttpError> {
        if data == "[DONE]" {
            let finish = self.finish.take().unwrap_or_else(|| "stop".into());
            self.ready.push_back(EngineEvent::End {
                finish,
                usage: self.usage,
            });
            return Ok(());
        }
        let chunk: Chunk = serde_json::from_str(data).map_err(malformed)?;
        if let Some(usage) = chunk.usage {
            self.usage = attempt::Usage {
                prompt: units::Tokens(usage.prompt_tokens),
                output: units::Tokens(usage.completion_tokens),
            };
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(());
        };
        if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
            self.usage.output = self.usage.output.saturating_add(units::Tokens(1));
            self.ready.push_back(EngineEvent::Text(text));
        }
        if choice.finish_reason.is_some() {
            self.finish = choice.finish_reason;
        }
        Ok(())
    }
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<ChunkUsage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<Arc<str>>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<Arc<str>>,
}

#[derive(Deserialize)]
struct ChunkUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}
