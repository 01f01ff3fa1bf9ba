//! A caller that takes the time of its answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request};
use serde_json::Value;

use crate::http;
use crate::runtime;

/// Time for an answer.
const HEAD_TIMEOUT: Duration = Duration::from_mins(3);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is whole.
    Complete,
    /// Refused with this HTTP status.
    Refused(u16),
    /// The answer broke off or ended with an error event.
    Broken,
}

/// An answer with its times, relative to the moment at which it was due.
#[derive(Clone, Debug)]
pub struct TimedAnswer {
    /// How the request ended.
    pub outcome: Outcome,
    /// The version that answered, where there is one.
    pub version: Option<String>,
    /// Id of the request, where an entry answered.
    pub request_id: Option<String>,
    /// Number of the result code, where the request was refused.
    pub code: Option<u64>,
    /// Whether the answer was a stream of events.
    pub streamed: bool,
    /// Time to the first token of a stream.
    pub first_token: Duration,
    /// Times between tokens of a stream.
    pub token_gaps: Vec<Duration>,
    /// Time to the end.
    pub total: Duration,
}

/// A request as a caller sends it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path on the server.
    pub path: String,
    /// Headers besides token and content type.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: String,
}

/// A caller of one server.
#[derive(Clone, Debug)]
pub struct Caller {
    client: http::Client,
    token: String,
}

impl Caller {
    /// A caller with a bearer token.
    #[must_use]
    pub fn new(addr: SocketAddr, token: &str, traffic: &runtime::Traffic) -> Self {
        Self {
            client: http::Client::new(addr, traffic.clone()),
            token: token.to_owned(),
        }
    }

    /// Sends a request that was due at `due`, so that waiting for the load
    /// generator itself counts as latency.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: String,
        scheduled_at: Instant,
    ) -> TimedAnswer {
        let key = key.map(|key| ("idempotency-key", key.to_owned()));
        let request = CallerRequest {
            method,
            path: path.to_owned(),
            headers: key.into_iter().collect(),
            body,
        };
        self.send_request(request, scheduled_at).await
    }

    /// As [`Self::send`], with more headers.
    pub async fn send_request(&self, request: CallerRequest, scheduled_at: Instant) -> TimedAnswer {
        let mut timed = TimedAnswer {
            outcome: Outcome::Broken,
            version: None,
            request_id: None,
            code: None,
            streamed: false,
            first_token: Duration::ZERO,
            token_gaps: Vec::new(),
            total: Duration::ZERO,
        };
        let mut req = Request::builder()
            .method(request.method)
            .uri(request.path)
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json");
        for (name, value) in request.headers {
            req = req.header(name, value);
        }
        let Ok(req) = req.body(Full::new(Bytes::from(request.body))) else {
            return timed;
        };
        if let Ok(answer) = self.client.send(req, HEAD_TIMEOUT).await {
            read(answer, &mut timed, scheduled_at).await;
        }
        timed.total = scheduled_at.elapsed();
        timed
    }
}

async fn read(mut answer: http::Answer, timed: &mut TimedAnswer, scheduled_at: Instant) {
    let header = |name: &str| {
        let value = answer.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    timed.version = header("x-quetzalworks-version");
    timed.request_id = header("x-quetzalworks-request-id");
    let status = answer.status;
    timed.streamed = answer
        .headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    let mut sse = http::SseReader::default();
    let mut refusal = Vec::new();
    let mut done = false;
    let mut last = None;
    loop {
        match answer.chunk().await {
            Ok(Some(chunk)) if timed.streamed => sse.push(&chunk),
            Ok(Some(chunk)) if !status.is_success() => refusal.extend_from_slice(&chunk),
            Ok(Some(_)) => {}
            Ok(None) => break,
            Err(_) => return,
        }
        let now = Instant::now();
        while let Some(data) = sse.next_data() {
            done = data == "[DONE]";
            timed.code = error_number(data.as_bytes());
            if !has_token(&data) {
                continue;
            }
            match last {
                Some(last) => timed.token_gaps.push(now - last),
                None => timed.first_token = now.saturating_duration_since(scheduled_at),
            }
            last = Some(now);
        }
    }
    if !status.is_success() {
        timed.code = error_number(&refusal);
    }
    timed.outcome = if !status.is_success() {
        Outcome::Refused(status.as_u16())
    } else if timed.streamed && !done {
        Outcome::Broken
    } else {
        Outcome::Complete
    };
}

/// Number of the result code in the body of an error.
fn error_number(body: &[u8]) -> Option<u64> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let error_number = body.pointer("/error/number").or_else(|| body.get("code"));
    error_number.and_then(Value::as_u64)
}

/// Whether the event carries text; the first event carries the role alone.
fn has_token(data: &str) -> bool {
    serde_json::from_str::<Value>(data).is_ok_and(|event| {
        let content = event.pointer("/choices/0/delta/content");
        content
            .and_then(Value::as_str)
            .is_some_and(|text| !text.is_empty())
    })
}
