//! HTTP server with limits on head size, connections and the time that callers take.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper::{Request, StatusCode};
use smol::channel::{self, Receiver, Sender};
use smol::future::{self, FutureExt};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::http;
use crate::http::{connection, connection_table, held_body, stall};
use crate::runtime;
use crate::settings;
use crate::units;

/// Pause after a failed `accept`, for example for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Interval at which a planned stop checks for requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the end of a planned stop for the delivery of the last answers.
const END_MARGIN: Duration = Duration::from_millis(250);
/// Minimum buffer size that `hyper` accepts for a connection.
const MIN_BUFFER: usize = 8_192;
/// Bytes beyond the limit on heads that are still read, so that the handler can refuse a
/// head slightly over the limit with a numbered error. `hyper` answers longer heads with
/// a bare 431.
const HEAD_SLACK: usize = 16 * 1_024;

/// Time that the network may add to that of a head which its caller sent in time.
const HEAD_MARGIN: Duration = Duration::from_secs(1);
/// Maximum time to discard the body of a refused request. Closed with unread bytes, the
/// connection would be reset, and its caller may miss the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which an evicted connection checks whether its last request has ended.
const EVICTION_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Handler of the requests that a [`Server`] receives.
pub trait Handler: Send + Sync + 'static {
    /// Returns the reply to one request. Called concurrently for requests of different
    /// connections.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = http::Reply> + Send;

    /// Returns the reply to a request whose handling is ended by [`Server::drain`]. It must not
    /// promise that the request was not executed.
    fn unfinished(&self) -> http::Reply {
        http::full(
            StatusCode::BAD_GATEWAY,
            "text/plain",
            "the process stops; the outcome is unknown\n",
        )
    }

    /// Returns the reply to a request for which there is no memory, and which is not
    /// handled. It must promise that the request was not executed.
    fn overloaded(&self) -> http::Reply {
        let text = "there is no memory for the request now\n";
        http::full(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text)
    }
}

/// A running server. Dropping it stops accepting and closes open connections after their
/// current answer.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    closing: Sender<Infallible>,
    ending: Sender<Infallible>,
    active: Arc<AtomicUsize>,
    idle_ms: Arc<AtomicU64>,
    head_ms: Arc<AtomicU64>,
    _accept: Task<()>,
}

impl Server {
    /// Starts a server on `addr` that passes requests to `handler`. Fails if the address
    /// cannot be bound.
    pub async fn bind<H: Handler>(
        addr: SocketAddr,
        limits: settings::Limits,
        traffic: &runtime::Traffic,
        handler: Arc<H>,
    ) -> io::Result<Self> {
        let connections = http::Connections::default();
        let table = connection_table::ConnectionTable::new(None);
        Self::bind_on(addr, limits, traffic, handler, connections, table).await
    }

    /// Like [`Server::bind`], with the memory for all connections and requests. Where it is
    /// short, those are closed that hold most for longest without progress.
    pub async fn bind_within<H: Handler>(
        addr: SocketAddr,
        limits: settings::Limits,
        traffic: &runtime::Traffic,
        handler: Arc<H>,
        budget: Arc<http::BufferBudget>,
    ) -> io::Result<Self> {
        let connections = http::Connections::default();
        let table = connection_table::ConnectionTable::new(Some(budget));
        Self::bind_on(addr, limits, traffic, handler, connections, table).await
    }

    /// Like [`Server::bind`], with a handle that can sever all connections.
    pub async fn bind_with<H: Handler>(
        addr: SocketAddr,
        limits: settings::Limits,
        traffic: &runtime::Traffic,
        handler: Arc<H>,
        connections: http::Connections,
    ) -> io::Result<Self> {
        let table = connection_table::ConnectionTable::new(None);
        Self::bind_on(addr, limits, traffic, handler, connections, table).await
    }

    async fn bind_on<H: Handler>(
        addr: SocketAddr,
        limits: settings::Limits,
        traffic: &runtime::Traffic,
        handler: Arc<H>,
        connections: http::Connections,
        table: Arc<connection_table::ConnectionTable>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (closing, closed) = channel::bounded(1);
        let (ending, ended) = channel::bounded(1);
        let active = Arc::new(AtomicUsize::new(0));
        let idle_ms = Arc::new(AtomicU64::new(limits.send_timeout_ms.0));
        let head_ms = Arc::new(AtomicU64::new(limits.send_timeout_ms.0));
        let acceptor = Acceptor {
            listener,
            limits,
            traffic: traffic.clone(),
            handler,
            closed,
            ended,
            active: Arc::clone(&active),
            idle_ms: Arc::clone(&idle_ms),
            head_ms: Arc::clone(&head_ms),
            connections,
            table,
        };
        Ok(Self {
            addr,
            closing,
            ending,
            active,
            idle_ms,
            head_ms,
            _accept: traffic.spawn(acceptor.run()),
        })
    }

    /// Returns the address on which the server listens, with the port that the system
    /// chose for port 0.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets how long connections accepted from now on may stay idle. The default is the
    /// limit on the time to send a request.
    pub fn set_idle(&self, idle: units::Millis) {
        self.idle_ms.store(idle.0, Ordering::Release);
    }

    /// Sets how long callers of connections accepted from now on may take for a head, from
    /// its first byte. The default is the limit on the time to send a request.
    pub fn set_head_time(&self, head: units::Millis) {
        self.head_ms.store(head.0, Ordering::Release);
    }

    /// Returns the number of open connections. After [`Server::close_idle`], only those
    /// are counted that were open before and have an answer to deliver.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Waits until [`Server::active`] is zero, at most until `deadline`. Shortly before it,
    /// requests without an answer are ended with [`Handler::unfinished`].
    pub async fn drain(&self, deadline: Instant) {
        let end_at = deadline.checked_sub(END_MARGIN).unwrap_or(deadline);
        while self.active() > 0 && Instant::now() < deadline {
            if Instant::now() >= end_at {
                self.end();
            }
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Ends the handling of requests that have no answer yet with [`Handler::unfinished`]. An
    /// answer that has begun goes on.
    fn end(&self) {
        self.ending.close();
    }

    /// Closes idle connections, and each other one after its current answer. Connections
    /// accepted later serve one request each, which the handler may refuse, and do not
    /// count as active.
    pub fn close_idle(&self) {
        self.closing.close();
    }
}

struct Acceptor<H> {
    listener: TcpListener,
    limits: settings::Limits,
    traffic: runtime::Traffic,
    handler: Arc<H>,
    closed: Receiver<Infallible>,
    ended: Receiver<Infallible>,
    active: Arc<AtomicUsize>,
    idle_ms: Arc<AtomicU64>,
    head_ms: Arc<AtomicU64>,
    connections: http::Connections,
    table: Arc<connection_table::ConnectionTable>,
}

impl<H: Handler> Acceptor<H> {
    async fn run(self) {
        loop {
            let Ok((tcp, _)) = self.listener.accept().await else {
                Timer::after(ACCEPT_BACKOFF).await;
                continue;
            };
            if self.table.len() >= self.limits.max_connections {
                let is_evicted = self.table.evict_for_connection();
                // Lets the evicted connection close before the next one is accepted.
                future::yield_now().await;
                if !is_evicted {
                    continue;
                }
            }
            let Some(connection) = self.table.open().await else {
                future::yield_now().await;
                continue;
            };
            let serve = self.serve(tcp, Arc::new(connection));
            let guard = (!self.closed.is_closed()).then(|| ConnectionGuard::new(&self.active));
            let task = async move {
                serve.await;
                drop(guard);
            };
            self.traffic.spawn(task).detach();
        }
    }

    fn serve(
        &self,
        tcp: TcpStream,
        open: Arc<connection::Connection>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let limits = self.limits;
        let idle = units::Millis(self.idle_ms.load(Ordering::Acquire));
        let head = units::Millis(self.head_ms.load(Ordering::Acquire));
        let stall_limits = stall::StallLimits {
            write: limits.send_timeout_ms.duration(),
            head: head.duration() + HEAD_MARGIN,
        };
        let handler = Arc::clone(&self.handler);
        let closed = self.closed.clone();
        let closing = closed.clone();
        let ended = self.ended.clone();
        let severed = self.connections.severed();
        async move {
            if let Err(err) = tcp.set_nodelay(true) {
                log::debug!("http: cannot set TCP_NODELAY on an accepted connection: {err}");
            }
            let io = stall::StallLimited::new(tcp, stall_limits, Arc::clone(&open));
            let table_entry = Arc::clone(&open);
            let service = service_fn(move |mut req: Request<Incoming>| {
                let handler = Arc::clone(&handler);
                let (closing, ended) = (closing.clone(), ended.clone());
                let open = Arc::clone(&table_entry);
                async move {
                    let Some(slot) = open.begin_request().await else {
                        let discarded = open.discard_body(req.into_body());
                        runtime::timeout_at(Instant::now() + DISCARD_TIMEOUT, discarded).await;
                        open.end_discard();
                        let mut reply = handler.overloaded();
                        let close = HeaderValue::from_static("close");
                        reply.headers_mut().insert(CONNECTION, close);
                        return Ok(reply.map(|body| held_body::HeldBody::new(body, None)));
                    };
                    req.extensions_mut().insert(slot.body());
                    let unfinished = async {
                        until_closed(&ended).await;
                        handler.unfinished()
                    };
                    let mut reply = handler.handle(req).or(unfinished).await;
                    if http::is_abandoned(&reply) {
                        return Err(io::Error::from(io::ErrorKind::ConnectionAborted));
                    }
                    if closing.is_closed() || open.is_evicted() {
                        let close = HeaderValue::from_static("close");
                        reply.headers_mut().insert(CONNECTION, close);
                    }
                    Ok(reply.map(|body| held_body::HeldBody::new(body, Some(slot))))
                }
            });
            let connection = http1::Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(idle.duration())
                .max_buf_size(limits.head_bytes.as_usize().max(MIN_BUFFER) + HEAD_SLACK)
                .serve_connection(FuturesIo::new(io), service);
            let severed = async {
                severed.await;
                Ok(())
            };
            let evicted = async {
                open.evicted().await;
                // A body that is being received is refused by its reader, and a request that
                // was received completely is answered.
                while open.is_in_request() {
                    Timer::after(EVICTION_POLL_INTERVAL).await;
                }
                Ok(())
            };
            // `severed` is polled first: a request that arrives at the same time must not
            // reach the handler.
            if let Err(err) = severed
                .or(evicted)
                .or(serve_until_closed(connection, closed))
                .await
            {
                log::debug!("http: connection ended: {err}");
            }
        }
    }
}

/// Waits until the channel is closed; no value is ever sent.
async fn until_closed(rx: &Receiver<Infallible>) {
    while rx.recv().await.is_ok() {}
}

/// Serves a connection. Once `closed` ends, the connection is closed after its current
/// answer.
async fn serve_until_closed<S>(
    connection: http1::Connection<FuturesIo<stall::StallLimited>, S>,
    closed: Receiver<Infallible>,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = held_body::HeldBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Closed at once, a connection accepted late would get no answer to a request that is on
    // its way, and its caller could not tell whether that was executed.
    if closed.is_closed() {
        return connection.await;
    }
    let mut connection = std::pin::pin!(connection);
    let served = async { Some(connection.as_mut().await) };
    let closing = async {
        until_closed(&closed).await;
        None
    };
    if let Some(result) = served.or(closing).await {
        return result;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// Counts a connection while it is open, and releases the count when dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(active: &Arc<AtomicUsize>) -> Self {
        active.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(active))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns a plain-text 404, for handlers without an error format of their own.
#[must_use]
pub fn not_found() -> http::Reply {
    http::full(StatusCode::NOT_FOUND, "text/plain", "not found\n")
}
