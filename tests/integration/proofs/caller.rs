//! Callers that check every answer, and what the stand-ins know of it.

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

/// Chat requests of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Chat {
    pub max_tokens: u64,
    pub stream: bool,
    /// Header `x-quetzalworks-deadline-ms`.
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

/// How a chat request ended for its caller. A cut, mixed or foreign answer
/// fails the test at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The whole answer; the request's id.
    Whole(String),
    Refused {
        number: u64,
        not_run: bool,
    },
    /// A stream that ended with an explicit error event.
    Interrupted,
    /// The caller could not connect.
    NotSent,
    /// The exchange broke off.
    Broken,
}

/// A request with its messages and the way it ended.
pub type Sent = (Value, Ended);

/// The entries and the tokens of a site.
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

    /// Sends one chat request.
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
        let ended = match &answer {
            Ok(answer) => read(answer, &messages, chat),
            Err(HttpError::NotSent(_)) => Ended::NotSent,
            Err(_) => Ended::Broken,
        };
        (messages, ended)
    }

    /// Sends concurrent requests, each `callers` at a time, one after the
    /// other; each is unique and its text starts with `name`.
    pub fn load(&self, name: &str, callers: usize, requests: usize, chat: Chat) -> Vec<Sent> {
        let sent = http::concurrently(callers, |caller| -> Vec<Sent> {
            let texts = (0..requests).map(|i| format!("{name} {caller}.{i}"));
            texts.map(|text| self.chat(caller, &text, chat)).collect()
        });
        sent.into_iter().flatten().collect()
    }

    /// Sends requests, `callers` at a time, while `run` runs.
    pub fn load_during(
        &self,
        name: &str,
        callers: usize,
        chat: Chat,
        run: impl FnOnce(),
    ) -> Vec<Sent> {
        let done = AtomicBool::new(false);
        let all = |caller: usize| -> Vec<Sent> {
            let texts = (0..).map(|i| format!("{name} {caller}.{i}"));
            let texts = texts.take_while(|_| !done.load(Ordering::Acquire));
            texts.map(|text| self.chat(caller, &text, chat)).collect()
        };
        let sent = std::thread::scope(|scope| {
            let load = scope.spawn(|| http::concurrently(callers, all));
            run();
            done.store(true, Ordering::Release);
            load.join().unwrap()
        });
        sent.into_iter().flatten().collect()
    }

    /// Calls the booking service.
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

fn read(answer: &http::Answer, messages: &Value, chat: Chat) -> Ended {
    if answer.status != 200 {
        let error = &answer.json()["error"];
        return Ended::Refused {
            number: error["number"].as_u64().expect("a refusal has a number"),
            not_run: error["not_run"].as_bool().unwrap(),
        };
    }
    let mut events = answer.events().into_iter();
    if events.any(|event| event["error"].is_object()) {
        return Ended::Interrupted;
    }
    let version = answer.header("x-quetzalworks-version").unwrap();
    let expected = standin::answer_text(version, messages, chat.max_tokens);
    assert_eq!(answer.content(), expected, "answer to {messages}");
    assert_eq!(answer.is_done(), chat.stream, "answer to {messages}");
    let request = answer.header("x-quetzalworks-request-id").unwrap();
    Ended::Whole(request.to_owned())
}

/// Ids of the requests that were answered.
pub fn answered(sent: &[Sent]) -> Vec<&str> {
    let whole = sent.iter().filter_map(|(_, ended)| match ended {
        Ended::Whole(request) => Some(request.as_str()),
        _ => None,
    });
    whole.collect()
}

/// The usage records by request id as the billing system counts them: the
/// first record of a request counts.
pub fn billed(records: &[Value]) -> HashMap<&str, &Value> {
    let mut first = HashMap::new();
    for record in records {
        let request = record["request"].as_str().unwrap();
        first.entry(request).or_insert(record);
    }
    first
}

/// Fails where an answered request is not billed with its tokens.
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

/// Times that the engines began a request with these messages.
pub fn started(cluster: &Cluster, messages: &Value) -> u64 {
    let served = cluster.engines.iter().flat_map(StandinEngine::served);
    let of_request = served.filter(|served| served.messages == *messages);
    of_request.map(|served| served.started).sum()
}

/// Times that the services executed a call with this body.
pub fn executions(cluster: &Cluster, body: &str) -> u64 {
    let services = cluster.services.iter();
    services
        .filter_map(|service| service.executions().get(body).copied())
        .sum()
}
