//! Callers that check every answer, and queries to the stand-ins about what ran.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::Method;
use quetzalworks::http::HttpError;
use quetzalworks::platform::Stream;
use quetzalworks::standin::{self, StandinEngine};
use serde_json::{Value, json};

use crate::testing::cluster::Cluster;
use crate::testing::{http, wait};

/// Parameters that a group of chat requests shares.
#[derive(Clone, Copy, Debug)]
pub struct Chat {
    pub max_tokens: u64,
    pub stream: bool,
    /// Value of the header `x-quetzalworks-deadline-ms`.
    pub deadline_ms: &'static str,
}

impl Default for Chat {
    fn default() -> Self {
        Self {
            max_tokens: 20,
            stream: true,
            deadline_ms: "30000",
        }
    }
}

/// Outcome of a chat request for its caller. An answer that is truncated, mixed up or
/// that of another request fails the test at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived; holds the request id.
    Complete(String),
    Refused {
        number: u64,
        not_run: bool,
    },
    /// The stream ended with an explicit error event.
    Interrupted,
    /// The caller could not connect to the entry.
    NotSent,
    /// The connection was lost when the request may already have been sent.
    Disconnected,
}

/// The messages of a request and its outcome.
pub type Sent = (Value, Outcome);

/// A caller of all entries of a site, with the token of its team.
#[derive(Clone, Debug)]
pub struct Caller {
    pub entries: Vec<SocketAddr>,
    bearer: String,
}

impl Caller {
    pub fn new(entries: Vec<SocketAddr>, token: &str) -> Self {
        let bearer = format!("Bearer {token}");
        Self { entries, bearer }
    }

    pub fn of(cluster: &Cluster) -> Self {
        let entries = 0..cluster.entries.len();
        let entries = entries.map(|i| cluster.entry_addr(i)).collect();
        Self::new(entries, &cluster.team_token)
    }

    /// Sends one chat request and checks its answer.
    pub fn chat(&self, entry: usize, text: &str, chat: Chat) -> Sent {
        let messages = json!([{ "role": "user", "content": text }]);
        let body = json!({
            "model": "chat", "messages": messages,
            "max_tokens": chat.max_tokens, "stream": chat.stream,
        });
        let headers = [
            ("authorization", self.bearer.as_str()),
            ("x-quetzalworks-deadline-ms", chat.deadline_ms),
        ];
        let path = "/v1/chat/completions";
        let body = body.to_string();
        let addr = self.entries[entry % self.entries.len()];
        let answer = http::send(addr, &Method::POST, path, &headers, body.as_bytes());
        let outcome = match &answer {
            Ok(answer) => read_outcome(answer, &messages, chat),
            Err(HttpError::NotSent(_)) => Outcome::NotSent,
            Err(_) => Outcome::Disconnected,
        };
        (messages, outcome)
    }

    /// Sends `requests` requests from each of `callers` concurrent callers. Each request
    /// is unique and its text starts with `name`.
    pub fn load(&self, name: &str, callers: usize, requests: usize, chat: Chat) -> Vec<Sent> {
        let sent = http::concurrently(callers, |caller| -> Vec<Sent> {
            let texts = (0..requests).map(|i| format!("{name} {caller}.{i}"));
            texts.map(|text| self.chat(caller, &text, chat)).collect()
        });
        sent.into_iter().flatten().collect()
    }

    /// Sends requests from `callers` concurrent callers while `run` runs.
    pub fn load_during(
        &self,
        name: &str,
        callers: usize,
        chat: Chat,
        run: impl FnOnce(),
    ) -> Vec<Sent> {
        let done = AtomicBool::new(false);
        let send_until_done = |caller: usize| -> Vec<Sent> {
            let texts = (0..).map(|i| format!("{name} {caller}.{i}"));
            let texts = texts.take_while(|_| !done.load(Ordering::Acquire));
            texts.map(|text| self.chat(caller, &text, chat)).collect()
        };
        let sent = std::thread::scope(|scope| {
            let load = scope.spawn(|| http::concurrently(callers, send_until_done));
            run();
            done.store(true, Ordering::Release);
            load.join().unwrap()
        });
        sent.into_iter().flatten().collect()
    }

    /// Calls the booking service with an idempotency key.
    pub fn call(
        &self,
        entry: usize,
        method: &Method,
        key: &str,
        body: &str,
    ) -> Result<http::Answer, HttpError> {
        let headers = [
            ("authorization", self.bearer.as_str()),
            ("idempotency-key", key),
        ];
        let path = "/v1/services/bookings/holds";
        http::send(self.entries[entry], method, path, &headers, body.as_bytes())
    }
}

fn read_outcome(answer: &http::Answer, messages: &Value, chat: Chat) -> Outcome {
    if answer.status != 200 {
        let error = &answer.json()["error"];
        return Outcome::Refused {
            number: error["number"].as_u64().expect("a refusal has a number"),
            not_run: error["not_run"].as_bool().unwrap(),
        };
    }
    let mut events = answer.events().into_iter();
    if events.any(|event| event["error"].is_object()) {
        return Outcome::Interrupted;
    }
    let version = answer.header("x-quetzalworks-version").unwrap();
    let expected = standin::answer_text(version, messages, chat.max_tokens);
    assert_eq!(answer.content(), expected, "answer to {messages}");
    assert_eq!(answer.is_done(), chat.stream, "answer to {messages}");
    let request = answer.header("x-quetzalworks-request-id").unwrap();
    Outcome::Complete(request.to_owned())
}

/// Returns the ids of the requests that were answered completely.
pub fn answered(sent: &[Sent]) -> Vec<&str> {
    let complete = sent.iter().filter_map(|(_, outcome)| match outcome {
        Outcome::Complete(request) => Some(request.as_str()),
        _ => None,
    });
    complete.collect()
}

/// Returns the usage records by request id as the billing system counts them: only the
/// first record of each request.
pub fn billed(records: &[Value]) -> HashMap<&str, &Value> {
    let mut first = HashMap::new();
    for record in records {
        let request = record["request"].as_str().unwrap();
        first.entry(request).or_insert(record);
    }
    first
}

/// Fails if an answered request is not billed with exactly `tokens` output tokens.
pub fn check_bills(name: &str, records: &[Value], sent: &[Sent], tokens: u64) {
    let billed = billed(records);
    for request in answered(sent) {
        let record = billed.get(request);
        let record = record.unwrap_or_else(|| panic!("{name}: {request} is not billed"));
        let output = &record["usage"]["output"];
        assert_eq!(output.as_u64(), Some(tokens), "{name}: {record}");
    }
}

/// Waits until each answered request has a usage record.
pub fn wait_for_bills(cluster: &Cluster, sent: &[Sent]) {
    wait::until("each answered request has a usage record", || {
        let records = cluster.log.records(Stream::Usage);
        let billed = billed(&records);
        answered(sent).iter().all(|id| billed.contains_key(id))
    });
}

/// Returns how often the engines started a request with these messages.
pub fn times_started(cluster: &Cluster, messages: &Value) -> u64 {
    let served = cluster.engines.iter().flat_map(StandinEngine::served);
    let of_request = served.filter(|served| served.messages == *messages);
    of_request.map(|served| served.started).sum()
}

/// Returns how often the services executed a call with this body.
pub fn executions(cluster: &Cluster, body: &str) -> u64 {
    let services = cluster.services.iter();
    services
        .filter_map(|service| service.executions().get(body).copied())
        .sum()
}
