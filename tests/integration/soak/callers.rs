//! Callers that reuse their connections and record each request's outcome.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request};
use quetzalworks::http::{Client, HttpError};
use quetzalworks::units;

use crate::testing::http;

/// Deadline that callers state in each request.
pub const DEADLINE: Duration = Duration::from_millis(2_500);
/// Time that a caller waits; far longer than the deadline, to observe late answers.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests per thousand that the caller abandons early.
const ABANDONED_PER_MILLE: u64 = 30;
/// Time after which the caller abandons such a request.
const ABANDON_AFTER: Duration = Duration::from_millis(20);
/// Maximum of consecutive requests to one entry before a caller picks another.
const MAX_REQUESTS_PER_ENTRY: u64 = 12;
/// Pause between requests; keeps the entries' logs within their rate limit.
const REQUEST_PAUSE: Duration = Duration::from_millis(25);
/// Largest accepted body of an answer.
const MAX_BODY: units::Bytes = units::Bytes(64 * 1_024);

/// The body that all requests share.
pub const BODY: &[u8] = b"body of the request";
/// Name and key of the team whose key may be withdrawn.
pub const BLUE: (&str, &str) = ("blue", "key-blue");
/// Name and key of the team whose key is never withdrawn.
pub const RED: (&str, &str) = ("red", "key-red");

/// Kind of a request, which determines its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum RequestKind {
    /// A call that may be attempted once only.
    Hold,
    /// A call that may be retried.
    Look,
    /// A chat whose answer is streamed.
    Chat,
}

impl RequestKind {
    pub const fn path(self) -> &'static str {
        match self {
            Self::Hold => "/hold/a?b=c",
            Self::Look => "/look/a?b=c",
            Self::Chat => "/chat/a?b=c",
        }
    }
}

/// An answer whose body was read completely.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// Request id in the answer; `None` if the answer has none.
    pub id: Option<String>,
    /// Whether the answer carries an endpoint's signature.
    pub is_signed: bool,
    pub body: Bytes,
}

/// A request and its outcome as observed by its caller.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub kind: RequestKind,
    /// Name and key of the team.
    pub team: (&'static str, &'static str),
    /// Index of the entry.
    pub entry: usize,
    pub at: Instant,
    pub ended: Instant,
    /// Whether the caller abandoned the request early.
    pub was_abandoned: bool,
    pub result: Result<Answer, HttpError>,
}

/// Sends one request and reads its answer, both within `timeout`.
pub fn send(
    client: &Client,
    path: &str,
    key: &str,
    id: &str,
    timeout: Duration,
) -> Result<Answer, HttpError> {
    let req = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", "example.test")
        .header("attempt-id", id)
        .header("deadline-ms", DEADLINE.as_millis().to_string())
        .header("key", key)
        .header("model", "*")
        .header("token-count", "100,20")
        .header("prefix-hash", "0a:60,0b:40")
        .body(Full::new(Bytes::from_static(BODY)))
        .unwrap();
    smol::block_on(async {
        let deadline = Instant::now() + timeout;
        let answer = client.send(req, timeout).await?;
        let text = |name: &str| {
            let value = answer.headers.get(name);
            value.and_then(|value| value.to_str().ok().map(str::to_owned))
        };
        let (status, id) = (answer.status.as_u16(), text("attempt-id"));
        let is_signed = text("server-seal").is_some();
        let body = quetzalworks::runtime::timeout_at(deadline, answer.bytes(MAX_BODY)).await;
        Ok(Answer {
            status,
            id,
            is_signed,
            body: body.unwrap_or(Err(HttpError::TimedOut))?,
        })
    })
}

/// State that all callers of a soak share.
#[derive(Debug)]
pub struct Callers {
    pub entries: Vec<SocketAddr>,
    seed: u64,
    next: AtomicU64,
    is_stopped: AtomicBool,
    sent: Mutex<Vec<Sent>>,
}

impl Callers {
    pub fn new(entries: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            entries,
            seed,
            next: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            sent: Mutex::default(),
        }
    }

    /// Makes all callers stop after their current series of requests to one entry.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
    }

    /// Takes the outcomes recorded so far.
    pub fn take(&self) -> Vec<Sent> {
        std::mem::take(&mut self.sent.lock().unwrap())
    }

    /// Returns an id that is unique among the requests of this soak.
    pub fn id(&self) -> String {
        format!(
            "s{}-{}",
            self.seed,
            self.next.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// Sends requests in sequence until [`stop`](Self::stop).
    pub fn run(&self, caller: u64) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ caller << 32);
        let connect = |addr: &SocketAddr| Client::new(*addr, http::traffic());
        let clients: Vec<_> = self.entries.iter().map(connect).collect();
        while !self.is_stopped.load(Ordering::Acquire) {
            let entry = rng.usize(..clients.len());
            for _ in 0..rng.u64(1..=MAX_REQUESTS_PER_ENTRY) {
                let sent = self.request(&clients[entry], entry, &mut rng);
                self.sent.lock().unwrap().push(sent);
                thread::sleep(REQUEST_PAUSE);
            }
        }
    }

    fn request(&self, client: &Client, entry: usize, rng: &mut fastrand::Rng) -> Sent {
        let kind = [RequestKind::Hold, RequestKind::Look, RequestKind::Chat][rng.usize(..3)];
        let team = if rng.bool() { RED } else { BLUE };
        let was_abandoned = rng.u64(..1_000) < ABANDONED_PER_MILLE;
        let timeout = if was_abandoned {
            ABANDON_AFTER
        } else {
            CLIENT_TIMEOUT
        };
        let (id, at) = (self.id(), Instant::now());
        let result = send(client, kind.path(), team.1, &id, timeout);
        Sent {
            id,
            kind,
            team,
            entry,
            at,
            ended: Instant::now(),
            was_abandoned,
            result,
        }
    }
}
