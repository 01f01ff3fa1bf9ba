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
const TIMEOUT: Duration = Duration::from_mins(3);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is whole.
    Whole,
    /// Refused with this HTTP status.
    Refused(u16),
    /// The answer broke off or ended with an error event.
    Broken,
}

/// An answer with its times, relative to the moment at which it was due.
#[derive(Clone, Debug)]
pub struct Answered {
    /// How the request ended.
    pub outcome: Outcome,
    /// The version that answered, where there is one.
    pub version: Option<String>,
    /// Id of the request, where an entry answered.
    pub request: Option<String>,
    /// Number of the result code, where the request was refused.
    pub code: Option<u64>,
    /// Whether the answer was a stream of events.
    pub streamed: bool,
    /// Time to the first token of a stream.
    pub first: Duration,
    /// Times between tokens of a stream.
    pub between: Vec<Duration>,
    /// Time to the end.
    pub whole: Duration,
}

/// A request as a caller sends it.
#[derive(Clone, Debug)]
pub struct Call {
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
        due: Instant,
    ) -> Answered {
        let key = key.map(|key| ("idempotency-key", key.to_owned()));
        let call = Call {
            method,
            path: path.to_owned(),
            headers: key.into_iter().collect(),
            body,
        };
        self.call(call, due).await
    }

    /// As [`Self::send`], with more headers.
    pub async fn call(&self, call: Call, due: Instant) -> Answered {
        let mut answered = Answered {
            outcome: Outcome::Broken,
            version: None,
            request: None,
            code: None,
            streamed: false,
            first: Duration::ZERO,
            between: Vec::new(),
            whole: Duration::ZERO,
        };
        let mut req = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json");
        for (name, value) in call.headers {
            req = req.header(name, value);
        }
        let Ok(req) = req.body(Full::new(Bytes::from(call.body))) else {
            return answered;
        };
        if let Ok(answer) = self.client.send(req, TIMEOUT).await {
            read(answer, &mut answered, due).await;
        }
        answered.whole = due.elapsed();
        answered
    }
}

async fn read(mut answer: http::Answer, answered: &mut Answered, due: Instant) {
    let header = |name: &str| {
        let value = answer.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    answered.version = header("x-quetzalworks-version");
    answered.request = header("x-quetzalworks-request-id");
    let status = answer.status;
    answered.streamed = answer
        .headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    let mut sse = http::SseReader::default();
    let mut refusal = Vec::new();
    let mut done = false;
    let mut last = None;
    loop {
        match answer.chunk().await {
            Ok(Some(chunk)) if answered.streamed => sse.push(&chunk),
            Ok(Some(chunk)) if !status.is_success() => refusal.extend_from_slice(&chunk),
            Ok(Some(_)) => {}
            Ok(None) => break,
            Err(_) => return,
        }
        let now = Instant::now();
        while let Some(data) = sse.next_data() {
            done = data == "[DONE]";
            answered.code = number(data.as_bytes());
            if !has_token(&data) {
                continue;
            }
            match last {
                Some(last) => answered.between.push(now - last),
                None => answered.first = now.saturating_duration_since(due),
            }
            last = Some(now);
        }
    }
    if !status.is_success() {
        answered.code = number(&refusal);
    }
    answered.outcome = if !status.is_success() {
        Outcome::Refused(status.as_u16())
    } else if answered.streamed && !done {
        Outcome::Broken
    } else {
        Outcome::Whole
    };
}

/// Number of the result code in the body of an error.
fn number(body: &[u8]) -> Option<u64> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let number = body.pointer("/error/number").or_else(|| body.get("code"));
    number.and_then(Value::as_u64)
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
