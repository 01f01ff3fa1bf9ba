//! Client of a model engine: the chat-completions HTTP API with streaming.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request};
use serde_json::Value;

use crate::attempt;
use crate::errors;
use crate::fleet;
use crate::http;
use crate::ids;
use crate::runtime;
use crate::sidecar::engine_stream;
use crate::units;

/// Time limit for the engine's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a status response, and of the response to an order.
const MAX_STATUS_SIZE: units::Bytes = units::Bytes(256 * 1_024);
/// Time limit for an order; the engine responds once it has accepted it.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// Response header in which an engine may state its boot id.
const BOOT_HEADER: &str = "x-engine-boot";

/// Status that an engine reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineStatus {
    /// Boot id; changes with each start of the engine.
    pub boot: Arc<str>,
    /// Model versions that the engine has loaded.
    pub versions: Vec<ids::VersionName>,
    /// Number of requests that the engine is running.
    pub running: u32,
}

/// HTTP client of one model engine; clones share its connections.
#[derive(Clone, Debug)]
pub struct Engine {
    http: http::Client,
}

/// Reason for which the engine has not begun an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The request cannot be converted to a request for the engine.
    Body(Arc<str>),
    /// The engine responded with this HTTP status, which is no success.
    Status(u16),
    /// The HTTP exchange failed before a response began.
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
    /// Creates a client of the engine at `addr`; connections run on `traffic`.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self {
            http: http::Client::new(addr, traffic),
        }
    }

    /// Queries the status of the engine.
    pub async fn status(&self) -> Result<EngineStatus, http::HttpError> {
        let req = Request::builder()
            .uri("/status")
            .body(Full::default())
            .map_err(malformed)?;
        let (_, body) = self
            .http
            .fetch(req, MAX_STATUS_SIZE, STATUS_TIMEOUT)
            .await?;
        serde_json::from_slice(&body).map_err(malformed)
    }

    /// Sends a model request and returns its answer as a stream once the response
    /// has begun; errs if that takes longer than `timeout`.
    pub async fn start(
        &self,
        work: &attempt::Work,
        priority: attempt::Priority,
        timeout: Duration,
    ) -> Result<engine_stream::EngineStream, StartError> {
        let body = engine_body(work, priority)?;
        let req = Request::builder()
            .method(Method::POST)
            .uri("/v1/chat/completions")
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(invalid_body)?;
        let response = self
            .http
            .send(req, timeout)
            .await
            .map_err(StartError::Http)?;
        if !response.status.is_success() {
            return Err(StartError::Status(response.status.as_u16()));
        }
        let boot = response
            .headers
            .get(BOOT_HEADER)
            .and_then(|value| value.to_str().ok())
            .map(Arc::from);
        Ok(engine_stream::EngineStream::new(response, boot))
    }

    /// Sends an order to the engine. A refusal as `Unreachable` means that the
    /// engine has not received it; after `OutcomeUnknown` it may have.
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
        let exchange = self.http.fetch(req, MAX_STATUS_SIZE, ORDER_TIMEOUT);
        let (status, _) = exchange.await.map_err(failed)?;
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

fn invalid_body(err: impl fmt::Display) -> StartError {
    StartError::Body(err.to_string().into())
}

/// Builds the engine's request: the caller's body with the fields that the router sets.
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
    let mut body: Value = serde_json::from_str(body).map_err(invalid_body)?;
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
