//! Callers that keep their connections, and record what they see.

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

/// Time that a caller states.
pub const DEADLINE: Duration = Duration::from_millis(2_500);
/// How long a caller waits; far longer, to see answers that come late.
const WAIT: Duration = Duration::from_secs(10);
/// Requests out of a thousand that are given up at once.
const GIVEN_UP: u64 = 30;
/// When they are.
const GIVE_UP_AFTER: Duration = Duration::from_millis(20);
/// Requests that a caller sends to one entry before it takes another.
const STAY: u64 = 12;
/// Pause between requests; keeps the log within its lines a second.
const PAUSE: Duration = Duration::from_millis(25);
/// Largest answer.
const MAX_BODY: units::Bytes = units::Bytes(64 * 1_024);

/// Body of each request.
pub const BODY: &[u8] = b"body of the request";
/// The team whose key may be withdrawn, and its key.
pub const BLUE: (&str, &str) = ("blue", "key-blue");
/// The team whose key stays, and its key.
pub const RED: (&str, &str) = ("red", "key-red");

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Wish {
    /// A call that may run once.
    Hold,
    /// A call that may be repeated.
    Look,
    /// A stream.
    Chat,
}

impl Wish {
    pub const fn path(self) -> &'static str {
        match self {
            Self::Hold => "/hold/a?b=c",
            Self::Look => "/look/a?b=c",
            Self::Chat => "/chat/a?b=c",
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// Id of the request that the answer names.
    pub id: Option<String>,
    pub is_signed: bool,
    pub body: Bytes,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub wish: Wish,
    pub team: (&'static str, &'static str),
    /// Number of the entry.
    pub entry: usize,
    pub at: Instant,
    pub ended: Instant,
    /// Whether the caller left early.
    pub gave_up: bool,
    pub result: Result<Answer, HttpError>,
}

/// Sends one request.
pub fn send(
    client: &Client,
    path: &str,
    key: &str,
    id: &str,
    wait: Duration,
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
        let until = Instant::now() + wait;
        let answer = client.send(req, wait).await?;
        let text = |name: &str| {
            let value = answer.headers.get(name);
            value.and_then(|value| value.to_str().ok().map(str::to_owned))
        };
        let (status, id) = (answer.status.as_u16(), text("attempt-id"));
        let is_signed = text("server-seal").is_some();
        let body = quetzalworks::runtime::timeout_at(until, answer.bytes(MAX_BODY)).await;
        Ok(Answer {
            status,
            id,
            is_signed,
            body: body.unwrap_or(Err(HttpError::TimedOut))?,
        })
    })
}

/// What all callers share.
#[derive(Debug)]
pub struct Callers {
    pub entries: Vec<SocketAddr>,
    seed: u64,
    next: AtomicU64,
    is_over: AtomicBool,
    sent: Mutex<Vec<Sent>>,
}

impl Callers {
    pub fn new(entries: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            entries,
            seed,
            next: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
            sent: Mutex::default(),
        }
    }

    /// Ends the load.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Release);
    }

    /// What was sent so far.
    pub fn take(&self) -> Vec<Sent> {
        std::mem::take(&mut self.sent.lock().unwrap())
    }

    /// An id that no other request of this soak has.
    pub fn id(&self) -> String {
        format!(
            "s{}-{}",
            self.seed,
            self.next.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// Sends requests one after the other until the load ends.
    pub fn run(&self, caller: u64) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ caller << 32);
        let connect = |addr: &SocketAddr| Client::new(*addr, http::traffic());
        let clients: Vec<_> = self.entries.iter().map(connect).collect();
        while !self.is_over.load(Ordering::Acquire) {
            let entry = rng.usize(..clients.len());
            for _ in 0..rng.u64(1..=STAY) {
                let sent = self.request(&clients[entry], entry, &mut rng);
                self.sent.lock().unwrap().push(sent);
                thread::sleep(PAUSE);
            }
        }
    }

    fn request(&self, client: &Client, entry: usize, rng: &mut fastrand::Rng) -> Sent {
        let wish = [Wish::Hold, Wish::Look, Wish::Chat][rng.usize(..3)];
        let team = if rng.bool() { RED } else { BLUE };
        let gave_up = rng.u64(..1_000) < GIVEN_UP;
        let wait = if gave_up { GIVE_UP_AFTER } else { WAIT };
        let (id, at) = (self.id(), Instant::now());
        let result = send(client, wish.path(), team.1, &id, wait);
        Sent {
            id,
            wish,
            team,
            entry,
            at,
            ended: Instant::now(),
            gave_up,
            result,
        }
    }
}
