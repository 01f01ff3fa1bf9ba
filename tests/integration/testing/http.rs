//! HTTP client of the tests: callers and operators.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, HeaderMap};
use hyper::{Method, Request};
use quetzalworks::http::{Client, HttpError, SseReader};
use quetzalworks::runtime::Traffic;
use quetzalworks::units;
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_mins(1);
const MAX_BODY: units::Bytes = units::Bytes(16 * 1_024 * 1_024);

/// A response whose body was read completely.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, `null` if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns a header's value; `None` if it is missing or no text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the text of a chat completion, whether streamed or in one piece.
    pub fn content(&self) -> String {
        if let Some(text) = self.json().pointer("/choices/0/message/content") {
            return text.as_str().unwrap().to_owned();
        }
        self.events()
            .iter()
            .filter_map(|event| {
                event
                    .pointer("/choices/0/delta/content")?
                    .as_str()
                    .map(str::to_owned)
            })
            .collect()
    }

    /// Returns the events of a stream that are JSON; the end marker is not.
    pub fn events(&self) -> Vec<Value> {
        let mut sse = SseReader::default();
        sse.push(&self.body);
        std::iter::from_fn(|| sse.next_data())
            .filter_map(|data| serde_json::from_str(&data).ok())
            .collect()
    }

    /// Returns whether a streamed answer ends with the end marker.
    pub fn is_done(&self) -> bool {
        self.body.ends_with(b"data: [DONE]\n\n")
    }
}

/// Returns the executor, of two threads, that the test process shares for its
/// stand-ins and clients.
pub fn traffic() -> Traffic {
    static TRAFFIC: OnceLock<Traffic> = OnceLock::new();
    TRAFFIC
        .get_or_init(|| Traffic::spawn_threads(2).unwrap())
        .clone()
}

/// Sends a request on a new connection and reads the complete response.
pub fn send(
    addr: SocketAddr,
    method: &Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Answer, HttpError> {
    let mut req = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(Bytes::copy_from_slice(body))).unwrap();
    smol::block_on(async {
        let client = Client::new(addr, traffic());
        let answer = client.send(req, TIMEOUT).await?;
        let (status, headers) = (answer.status.as_u16(), answer.headers.clone());
        Ok(Answer {
            status,
            headers,
            body: answer.bytes(MAX_BODY).await?,
        })
    })
}

/// Posts JSON with a bearer token.
pub fn try_post(
    addr: SocketAddr,
    path: &str,
    token: &str,
    body: &Value,
) -> Result<Answer, HttpError> {
    let bearer = format!("Bearer {token}");
    let headers = [
        (AUTHORIZATION.as_str(), bearer.as_str()),
        ("content-type", "application/json"),
    ];
    send(
        addr,
        &Method::POST,
        path,
        &headers,
        body.to_string().as_bytes(),
    )
}

/// Posts JSON with a bearer token; panics if there is no complete response.
pub fn post(addr: SocketAddr, path: &str, token: &str, body: &Value) -> Answer {
    try_post(addr, path, token, body).unwrap()
}

/// Gets a resource with a bearer token.
pub fn try_get(addr: SocketAddr, path: &str, token: &str) -> Result<Answer, HttpError> {
    let bearer = format!("Bearer {token}");
    send(
        addr,
        &Method::GET,
        path,
        &[(AUTHORIZATION.as_str(), bearer.as_str())],
        b"",
    )
}

/// Calls `run` with 0 to `count - 1`, each on its own thread; returns the
/// results in that order.
pub fn concurrently<T: Send>(count: usize, run: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let run = &run;
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..count).map(|i| scope.spawn(move || run(i))).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    })
}
