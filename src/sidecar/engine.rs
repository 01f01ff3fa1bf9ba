//! Client of a model engine: the chat-completions HTTP API with streaming.

use std::collections::VecDeque;
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
use crate::http;
use crate::ids;
use crate::runtime;
use crate::units;

/// Time for an engine's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest status.
const MAX_STATUS: units::Bytes = units::Bytes(256 * 1_024);
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
    sse: http::SseReader,
    ready: VecDeque<EngineEvent>,
    usage: attempt::Usage,
    finish: Option<Arc<str>>,
}

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

    /// Starts an answer. `body` is the caller's request as JSON.
    pub async fn start(
        &self,
        version: &ids::VersionName,
        body: &str,
        resume: (u32, &str),
        timeout: Duration,
    ) -> Result<EngineStream, http::HttpError> {
        let mut body: Value = serde_json::from_str(body).map_err(malformed)?;
        body["model"] = Value::from(version.as_str());
        body["stream"] = Value::from(true);
        body["stream_options"] = serde_json::json!({ "include_usage": true });
        if resume.0 > 0 {
            body["resume"] = serde_json::json!({ "from": resume.0, "text": resume.1 });
        }
        let req = Request::builder()
            .method(Method::POST)
            .uri("/v1/chat/completions")
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(malformed)?;
        let answer = self.http.send(req, timeout).await?;
        if !answer.status.is_success() {
            return Err(http::HttpError::Malformed(
                format!("engine answered with status {}", answer.status).into(),
            ));
        }
        Ok(EngineStream {
            answer,
            sse: http::SseReader::default(),
            ready: VecDeque::new(),
            usage: attempt::Usage::default(),
            finish: None,
        })
    }
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
