//! Client of one server, with a pool of idle connections.

use std::io;
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
use crate::http::fair_reads;
use crate::runtime;
use crate::units;

/// Default time limit for the TCP connect; one round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the head of an answer; a longer one counts as broken.
const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Maximum idle time after which a connection is still used again, where the server
/// states none. Servers commonly close idle connections after 5 s or more.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
/// Subtracted from the idle time that the server states, so that a request does not cross
/// the server's close of the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

type Sender = http1::SendRequest<Full<Bytes>>;

/// Limits on the connections of a client.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Time limit for the TCP connect of a new connection.
    pub connect_timeout: Duration,
    /// Maximum number of open connections, including idle ones. Unlimited by default.
    pub max_connections: usize,
    /// Memory for complete answers. Unlimited by default.
    pub budget: Option<Arc<http::BufferBudget>>,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: CONNECT_TIMEOUT,
            max_connections: usize::MAX,
            budget: None,
        }
    }
}

/// What an attempt to connect tells of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reach {
    /// It accepts connections, which it also does while it is too busy to answer.
    Accepts,
    /// Its host refuses the connection: no process listens there.
    Refuses,
    /// There was no answer in time, or the path to it failed.
    Silent,
    /// Nothing, as no connection could be made from here.
    Unknown,
}

/// Client of one server. Clones share the pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    addr: SocketAddr,
    traffic: runtime::Traffic,
    connect_timeout: Duration,
    max_connections: AtomicUsize,
    budget: Option<Arc<http::BufferBudget>>,
    open_connections: AtomicUsize,
    idle: Mutex<Vec<Idle>>,
}

/// A connection with the task that drives it. Dropping it closes the connection.
#[derive(Debug)]
struct Connection {
    sender: Sender,
    max_idle_age: Duration,
    driver: Task<()>,
    slot: Slot,
}

/// A slot in the client's limit on connections; released when dropped.
#[derive(Debug)]
struct Slot(Arc<Shared>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// An idle connection. It holds no [`Slot`], since the pool would then hold a reference
/// to itself.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    max_idle_age: Duration,
    since: Instant,
    driver: Task<()>,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed()
            && self.sender.is_ready()
            && now.saturating_duration_since(self.since) < self.max_idle_age
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
                    max_idle_age: candidate.max_idle_age,
                    driver: candidate.driver,
                    slot: Slot(Arc::clone(self)),
                });
            }
            self.open_connections.fetch_sub(1, Ordering::AcqRel);
        }
        None
    }

    /// Closes pooled connections whose maximum idle time has passed.
    fn expire(&self) {
        let now = Instant::now();
        let mut idle = self.lock();
        let before = idle.len();
        idle.retain(|candidate| candidate.is_usable(now));
        self.open_connections
            .fetch_sub(before - idle.len(), Ordering::AcqRel);
    }
}

impl Connection {
    fn release(self) {
        let shared = Arc::clone(&self.slot.0);
        let mut idle = shared.lock();
        if idle.len() >= MAX_IDLE_CONNECTIONS || self.sender.is_closed() {
            return;
        }
        // The pool counts the connection from here on, since the slot is released with
        // `self`.
        shared.open_connections.fetch_add(1, Ordering::AcqRel);
        idle.push(Idle {
            sender: self.sender,
            max_idle_age: self.max_idle_age,
            since: Instant::now(),
            driver: self.driver,
        });
    }
}

impl Client {
    /// Creates a client with default limits. It connects on first use.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self::with_limits(addr, traffic, ClientLimits::default())
    }

    /// Creates a client with the given limits. It connects on first use.
    #[must_use]
    pub fn with_limits(addr: SocketAddr, traffic: runtime::Traffic, limits: ClientLimits) -> Self {
        Self {
            shared: Arc::new(Shared {
                addr,
                traffic,
                connect_timeout: limits.connect_timeout,
                max_connections: AtomicUsize::new(limits.max_connections),
                budget: limits.budget,
                open_connections: AtomicUsize::new(0),
                idle: Mutex::default(),
            }),
        }
    }

    /// Returns the address of the server.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Changes the maximum number of open connections. Surplus ones stay open until they are
    /// closed for another reason.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.shared
            .max_connections
            .store(max_connections, Ordering::Release);
    }

    /// Closes idle connections whose maximum idle time has passed.
    pub fn expire_idle(&self) {
        self.shared.expire();
    }

    /// Closes all idle connections; those in use stay open.
    pub fn close_idle(&self) {
        let closed = self.shared.lock().drain(..).count();
        self.shared
            .open_connections
            .fetch_sub(closed, Ordering::AcqRel);
    }

    /// Whether a connection in the pool is open, so that the server lives.
    #[must_use]
    pub fn has_open_idle(&self) -> bool {
        let idle = self.shared.lock();
        idle.iter().any(|candidate| !candidate.sender.is_closed())
    }

    /// Opens a connection to see whether the server accepts it, and pools it.
    pub async fn reach(&self) -> Reach {
        if self.is_full() {
            return Reach::Unknown;
        }
        let tcp = match self.open_tcp().await {
            Ok(tcp) => tcp,
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => return Reach::Refuses,
            Err(_) => return Reach::Silent,
        };
        match self.start(tcp).await {
            Ok(connection) => {
                connection.release();
                Reach::Accepts
            }
            Err(_) => Reach::Unknown,
        }
    }

    /// Opens a connection and pools it. Success shows that the server accepts
    /// connections, which it also does while it is too busy to answer.
    pub async fn open_idle(&self) -> Result<(), http::HttpError> {
        self.connect().await?.release();
        Ok(())
    }

    /// Sends a request and waits up to `timeout` for the head of the response. The `Host`
    /// header defaults to the server's address.
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
        // Boxed, since the future takes 10 KB, which every caller would hold by value.
        Box::pin(self.exchange(req))
            .or(async {
                Timer::after(timeout).await;
                Err(http::HttpError::TimedOut)
            })
            .await
    }

    /// Sends a request and returns status and body of the response. Unlike [`Self::send`],
    /// `timeout` bounds the whole exchange. Fails if the body is larger than `limit`.
    pub async fn fetch(
        &self,
        req: Request<Full<Bytes>>,
        limit: units::Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), http::HttpError> {
        let exchange = async {
            let answer = self.send(req, timeout).await?;
            Ok((answer.status, answer.bytes(limit).await?))
        };
        runtime::timeout_at(Instant::now() + timeout, exchange)
            .await
            .unwrap_or(Err(http::HttpError::TimedOut))
    }

    async fn exchange(&self, mut req: Request<Full<Bytes>>) -> Result<Answer, http::HttpError> {
        while let Some(mut connection) = self.shared.take_idle() {
            match connection.sender.try_send_request(req).await {
                Ok(response) => return Answer::new(response, connection),
                // The server closed the idle connection before the request was written,
                // so it is safe to send it on another one.
                Err(mut err) => match err.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(http::HttpError::from(err.into_error())),
                },
            }
        }
        let mut connection = self.connect().await?;
        let response = connection.sender.send_request(req).await?;
        Answer::new(response, connection)
    }

    async fn connect(&self) -> Result<Connection, http::HttpError> {
        if self.is_full() {
            return Err(http::HttpError::NotSent("connection limit".into()));
        }
        self.start(self.open_tcp().await?).await
    }

    fn is_full(&self) -> bool {
        let max_connections = self.shared.max_connections.load(Ordering::Acquire);
        self.shared.open_connections.load(Ordering::Acquire) >= max_connections
    }

    async fn open_tcp(&self) -> io::Result<TcpStream> {
        let tcp = TcpStream::connect(self.shared.addr)
            .or(async {
                Timer::after(self.shared.connect_timeout).await;
                Err(io::ErrorKind::TimedOut.into())
            })
            .await?;
        tcp.set_nodelay(true)?;
        Ok(tcp)
    }

    async fn start(&self, tcp: TcpStream) -> Result<Connection, http::HttpError> {
        let io = FuturesIo::new(fair_reads::FairReads::new(tcp));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await
            .map_err(|err| http::HttpError::NotSent(err.to_string().into()))?;
        let driver = async {
            if let Err(err) = connection.await {
                log::debug!("http: connection ended: {err}");
            }
        };
        self.shared.open_connections.fetch_add(1, Ordering::AcqRel);
        Ok(Connection {
            sender,
            max_idle_age: MAX_IDLE_AGE,
            driver: self.shared.traffic.spawn(driver),
            slot: Slot(Arc::clone(&self.shared)),
        })
    }
}

/// Returns the usable part of the idle time that the server states in its `Keep-Alive`
/// header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}

/// A response whose body is read as it arrives. Dropping it early closes the connection,
/// by which the server learns that the answer is no longer required.
#[derive(Debug)]
pub struct Answer {
    /// Status from the head of the response.
    pub status: StatusCode,
    /// Headers from the head of the response.
    pub headers: HeaderMap,
    body: Incoming,
    connection: Option<Connection>,
    budget: Option<Arc<http::BufferBudget>>,
    /// Whether the body has failed, after which `hyper` reports its regular end.
    is_broken: bool,
}

impl Answer {
    /// Fails for a change of protocol, which no request asks for: what follows is no body.
    fn new(
        response: hyper::Response<Incoming>,
        mut connection: Connection,
    ) -> Result<Self, http::HttpError> {
        let (head, body) = response.into_parts();
        if head.status.is_informational() {
            let reason = format!("status {} is not final", head.status);
            return Err(http::HttpError::Malformed(reason.into()));
        }
        if let Some(timeout) = keep_alive_timeout(&head.headers) {
            connection.max_idle_age = timeout;
        }
        Ok(Self {
            status: head.status,
            headers: head.headers,
            body,
            budget: connection.slot.0.budget.clone(),
            connection: Some(connection),
            is_broken: false,
        })
    }

    /// Returns the next chunk of the body; `None` at its end, where the connection is
    /// released. Once it has failed, each further call fails too.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, http::HttpError> {
        if self.is_broken {
            return Err(http::HttpError::Broken("the body has failed before".into()));
        }
        while let Some(frame) = self.body.frame().await {
            let frame = frame.inspect_err(|_| self.is_broken = true)?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        self.release_connection();
        Ok(None)
    }

    /// Returns the complete body. Fails if it is larger than `limit`, or the answers of the
    /// server do not fit into their budget.
    pub async fn bytes(mut self, limit: units::Bytes) -> Result<Bytes, http::HttpError> {
        let mut buffer = http::BodyBuffer::new(limit, self.budget.as_ref());
        while let Some(chunk) = self.chunk().await? {
            buffer.push(&chunk)?;
        }
        Ok(buffer.into_bytes())
    }

    /// Begins a reservation for a part of the answer that is buffered; `None` without a
    /// budget.
    #[must_use]
    pub fn reserve(&self) -> Option<http::Reservation> {
        self.budget.as_ref().map(http::BufferBudget::begin)
    }

    /// Returns the complete body decoded from JSON. Fails if it is larger than `limit`.
    pub async fn json<T: serde::de::DeserializeOwned>(
        self,
        limit: units::Bytes,
    ) -> Result<T, http::HttpError> {
        let body = self.bytes(limit).await?;
        serde_json::from_slice(&body)
            .map_err(|err| http::HttpError::Malformed(err.to_string().into()))
    }

    fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }
}
