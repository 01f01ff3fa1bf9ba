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
    /// Whether the answer was a stream of events.
    pub streamed: bool,
    /// Time to the first token of a stream.
    pub first: Duration,
    /// Times between tokens of a stream.
    pub between: Vec<Duration>,
    /// Time to the end.
    pub whole: Duration,
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
        let mut answered = Answered {
            outcome: Outcome::Broken,
            version: None,
            streamed: false,
            first: Duration::ZERO,
            between: Vec::new(),
            whole: Duration::ZERO,
        };
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json");
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        let Ok(req) = req.body(Full::new(Bytes::from(body))) else {
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
    let header = answer.headers.get("x-quetzalworks-version");
    answered.version = header
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let status = answer.status;
    answered.streamed = answer
        .headers
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    let mut sse = http::SseReader::default();
    let mut done = false;
    let mut last = None;
    loop {
        match answer.chunk().await {
            Ok(Some(chunk)) if answered.streamed => sse.push(&chunk),
            Ok(Some(_)) => {}
            Ok(None) => break,
            Err(_) => return,
        }
        let now = Instant::now();
        while let Some(data) = sse.next_data() {
            done = data == "[DONE]";
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
    answered.outcome = if !status.is_success() {
        Outcome::Refused(status.as_u16())
    } else if answered.streamed && !done {
        Outcome::Broken
    } else {
        Outcome::Whole
    };
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
