//! Sends requests as a caller and measures the latency of their answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request};
use serde_json::Value;

use crate::http;
use crate::runtime;

/// Time until the head of the response; the body may take longer.
const HEAD_TIMEOUT: Duration = Duration::from_mins(3);

/// How a request ended, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was successful, and a stream ended with `[DONE]`.
    Complete,
    /// The server refused the request with this HTTP status.
    Refused(u16),
    /// The connection failed or timed out, or a stream ended without `[DONE]`, such as
    /// after an error event.
    Broken,
}

/// The result of a request, with times measured from the scheduled send time.
#[derive(Clone, Debug)]
pub struct TimedAnswer {
    /// How the request ended, as the caller sees it.
    pub outcome: Outcome,
    /// Model version in the response headers; `None` where the server names none.
    pub version: Option<String>,
    /// Id that the entry gave the request; `None` where no entry answered.
    pub request_id: Option<String>,
    /// Numeric result code of a refusal, or of an error event that ended a stream; `None`
    /// where there is none.
    pub code: Option<u64>,
    /// Whether the response was a stream of server-sent events.
    pub streamed: bool,
    /// Time to the first token; zero for answers that are not streamed.
    pub first_token: Duration,
    /// Times between the consecutive tokens of a stream.
    pub token_gaps: Vec<Duration>,
    /// Time until the end of the answer, also of a failed one.
    pub total: Duration,
}

/// A request with its extra headers and its body.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query on the server.
    pub path: String,
    /// Headers besides `Authorization` and `Content-Type`.
    pub headers: Vec<(&'static str, String)>,
    /// JSON text, or empty.
    pub body: String,
}

/// An HTTP client of one server that sends a team's token with each request.
#[derive(Clone, Debug)]
pub struct Caller {
    client: http::Client,
    token: String,
}

impl Caller {
    /// Creates a caller that sends a bearer token; it connects on first use.
    #[must_use]
    pub fn new(addr: SocketAddr, token: &str, traffic: &runtime::Traffic) -> Self {
        Self {
            client: http::Client::new(addr, traffic.clone()),
            token: token.to_owned(),
        }
    }

    /// Sends a request whose latency counts from `scheduled_at`, so that delays of the
    /// load generator itself are included.
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

    /// Sends a request as [`Self::send`] does, with headers of the caller's choice.
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

/// Returns the numeric result code in an error body, or `None` where there is none.
fn error_number(body: &[u8]) -> Option<u64> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let number = body.pointer("/error/number").or_else(|| body.get("code"));
    number.and_then(Value::as_u64)
}

/// Whether an event carries text; the first event carries the role alone.
fn has_token(data: &str) -> bool {
    serde_json::from_str::<Value>(data).is_ok_and(|event| {
        let content = event.pointer("/choices/0/delta/content");
        content
            .and_then(Value::as_str)
            .is_some_and(|text| !text.is_empty())
    })
}
