//! A client of one server that keeps idle connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol::{Task, Timer};
use smol_hyper::rt::FuturesIo;

use crate::http;
use crate::runtime;
use crate::units;

/// Time for the TCP connection; one round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle connections that are kept.
const MAX_IDLE: usize = 64;
/// Longest time for which an idle connection is used again where the server
/// states none. Servers commonly close idle connections after 5 s or more.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
/// Part of the server's stated idle time that is not used, so that a request
/// does not cross the server's close.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

type Sender = http1::SendRequest<Full<Bytes>>;

/// Bounds of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Time for a new connection.
    pub connect_timeout: Duration,
    /// Connections at a time, idle ones included.
    pub max_connections: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: CONNECT_TIMEOUT,
            max_connections: usize::MAX,
        }
    }
}

/// Client of one server.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    addr: SocketAddr,
    traffic: runtime::Traffic,
    limits: ClientLimits,
    open: AtomicUsize,
    idle: Mutex<Vec<Idle>>,
}

/// A connection with the task that drives it; dropping it closes it.
#[derive(Debug)]
struct Connection {
    sender: Sender,
    keep_for: Duration,
    driver: Task<()>,
    place: Place,
}

/// One connection of a client's limit.
#[derive(Debug)]
struct Place(Arc<Shared>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// An idle connection. It holds no reference to the pool, which holds it.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    keep_for: Duration,
    since: Instant,
    driver: Task<()>,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed()
            && self.sender.is_ready()
            && now.saturating_duration_since(self.since) < self.keep_for
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(self: &Arc<Self>) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        while let Some(candidate) = idle.pop() {
            if candidate.is_usable(now) {
                return Some(Connection {
                    sender: candidate.sender,
                    keep_for: candidate.keep_for,
                    driver: candidate.driver,
                    place: Place(Arc::clone(self)),
                });
            }
            self.open.fetch_sub(1, Ordering::AcqRel);
        }
        None
    }

    /// Closes connections that were idle for too long.
    fn expire(&self) {
        let now = Instant::now();
        let mut idle = self.lock();
        let before = idle.len();
        idle.retain(|candidate| candidate.is_usable(now));
        self.open.fetch_sub(before - idle.len(), Ordering::AcqRel);
    }
}

impl Connection {
    fn give_back(self) {
        let shared = Arc::clone(&self.place.0);
        let mut idle = shared.lock();
        if idle.len() >= MAX_IDLE || self.sender.is_closed() {
            return;
        }
        // The pool counts the connection from here on.
        shared.open.fetch_add(1, Ordering::AcqRel);
        idle.push(Idle {
            sender: self.sender,
            keep_for: self.keep_for,
            since: Instant::now(),
            driver: self.driver,
        });
    }
}

impl Client {
    /// A client of the server at `addr`; connects on first use.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self::with_limits(addr, traffic, ClientLimits::default())
    }

    /// A client with bounds of its own.
    #[must_use]
    pub fn with_limits(addr: SocketAddr, traffic: runtime::Traffic, limits: ClientLimits) -> Self {
        Self {
            shared: Arc::new(Shared {
                addr,
                traffic,
                limits,
                open: AtomicUsize::new(0),
                idle: Mutex::default(),
            }),
        }
    }

    /// The server's address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Closes connections that were idle for too long.
    pub fn expire_idle(&self) {
        self.shared.expire();
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        let closed = self.shared.lock().drain(..).count();
        self.shared.open.fetch_sub(closed, Ordering::AcqRel);
    }

    /// Opens a connection for a later request. Tells whether the server accepts
    /// one, which it does also while it is too busy to answer.
    pub async fn open_idle(&self) -> Result<(), http::HttpError> {
        self.connect().await?.give_back();
        Ok(())
    }

    /// Sends a request and waits for the head of the response. A request
    /// without a host is addressed to the server itself.
    pub async fn send(
        &self,
        mut req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, http::HttpError> {
        if !req.headers().contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&self.shared.addr.to_string())
        {
            req.headers_mut().insert(HOST, host);
        }
        // Boxed: the exchange takes 10 KB, which every caller would hold by value.
        Box::pin(self.exchange(req))
            .or(async {
                Timer::after(timeout).await;
                Err(http::HttpError::TimedOut)
            })
            .await
    }

    async fn exchange(&self, mut req: Request<Full<Bytes>>) -> Result<Answer, http::HttpError> {
        while let Some(mut connection) = self.shared.take_idle() {
            match connection.sender.try_send_request(req).await {
                Ok(response) => return Ok(Answer::new(response, connection)),
                // The idle connection was closed before the request was
                // written, so it is safe to send it on another one.
                Err(mut err) => match err.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(http::HttpError::from(err.into_error())),
                },
            }
        }
        let mut connection = self.connect().await?;
        let response = connection.sender.send_request(req).await?;
        Ok(Answer::new(response, connection))
    }

    async fn connect(&self) -> Result<Connection, http::HttpError> {
        let limits = self.shared.limits;
        if self.shared.open.load(Ordering::Acquire) >= limits.max_connections {
            return Err(http::HttpError::NotSent("connection limit".into()));
        }
        let tcp = TcpStream::connect(self.shared.addr)
            .or(async {
                Timer::after(limits.connect_timeout).await;
                Err(std::io::ErrorKind::TimedOut.into())
            })
            .await?;
        tcp.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(FuturesIo::new(tcp))
            .await
            .map_err(|err| http::HttpError::NotSent(err.to_string().into()))?;
        let driver = async {
            if let Err(err) = connection.await {
                log::debug!("http: connection ended: {err}");
            }
        };
        self.shared.open.fetch_add(1, Ordering::AcqRel);
        Ok(Connection {
            sender,
            keep_for: MAX_IDLE_AGE,
            driver: self.shared.traffic.spawn(driver),
            place: Place(Arc::clone(&self.shared)),
        })
    }
}

/// Idle time that the server allows, by its `Keep-Alive` header.
fn stated_idle_time(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}

/// A response. Dropping it before its end closes the connection, which tells
/// the server that the answer is no longer wanted.
#[derive(Debug)]
pub struct Answer {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    body: Incoming,
    connection: Option<Connection>,
}

impl Answer {
    fn new(response: hyper::Response<Incoming>, mut connection: Connection) -> Self {
        let (head, body) = response.into_parts();
        if let Some(age) = stated_idle_time(&head.headers) {
            connection.keep_for = age;
        }
        Self {
            status: head.status,
            headers: head.headers,
            body,
            connection: Some(connection),
        }
    }

    /// The next part of the body; `None` at its end.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, http::HttpError> {
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        self.keep_connection();
        Ok(None)
    }

    /// The whole body, at most `limit`.
    pub async fn bytes(mut self, limit: units::Bytes) -> Result<Bytes, http::HttpError> {
        let mut body = Vec::new();
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > limit.as_usize() {
                return Err(http::HttpError::TooLarge);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.into())
    }

    /// The whole body as JSON, at most `limit`.
    pub async fn json<T: serde::de::DeserializeOwned>(
        self,
        limit: units::Bytes,
    ) -> Result<T, http::HttpError> {
        let body = self.bytes(limit).await?;
        serde_json::from_slice(&body)
            .map_err(|err| http::HttpError::Malformed(err.to_string().into()))
    }

    fn keep_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.give_back();
        }
    }
}
