//! A caller.

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

/// A whole response.
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

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The text of a chat completion, whole or streamed.
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

    /// The events of a stream that are JSON.
    pub fn events(&self) -> Vec<Value> {
        let mut sse = SseReader::default();
        sse.push(&self.body);
        std::iter::from_fn(|| sse.next_data())
            .filter_map(|data| serde_json::from_str(&data).ok())
            .collect()
    }

    /// Whether a streamed answer has its end.
    pub fn is_done(&self) -> bool {
        self.body.ends_with(b"data: [DONE]\n\n")
    }
}

/// The threads that carry the tests' own traffic.
pub fn traffic() -> Traffic {
    static TRAFFIC: OnceLock<Traffic> = OnceLock::new();
    TRAFFIC
        .get_or_init(|| Traffic::spawn_threads(2).unwrap())
        .clone()
}

/// Sends a request with headers.
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

/// Sends JSON with a bearer token.
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

/// Sends JSON with a bearer token to a server that must answer.
pub fn post(addr: SocketAddr, path: &str, token: &str, body: &Value) -> Answer {
    try_post(addr, path, token, body).unwrap()
}

/// Reads a resource with a bearer token.
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

/// Runs `run` on `count` threads at a time; the results are in order.
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
