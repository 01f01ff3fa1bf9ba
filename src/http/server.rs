//! A server with bounds on heads, connections and sending time.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper::{Request, StatusCode};
use smol::channel::{self, Receiver, Sender};
use smol::future::FutureExt;
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::http;
use crate::http::stall;
use crate::runtime;
use crate::settings;
use crate::units;

/// Pause after a failed accept, such as one for lack of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Least buffer of a connection that the HTTP library accepts.
const MIN_BUFFER: usize = 8_192;
/// Bytes beyond the limit on heads that are still read, so that the handler
/// can refuse a head a little over the limit with a numbered error. The HTTP
/// library answers longer ones with a bare 431.
const HEAD_SLACK: usize = 16 * 1_024;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = http::Reply> + Send;
}

/// A running server; dropping it stops accepting.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    closing: Sender<Infallible>,
    active: Arc<AtomicUsize>,
    idle_ms: Arc<AtomicU64>,
    _accept: Task<()>,
}

impl Server {
    /// Listens on `addr` and answers with `handler`.
    pub async fn bind<H: Handler>(
        addr: SocketAddr,
        limits: settings::Limits,
        traffic: &runtime::Traffic,
        handler: Arc<H>,
    ) -> io::Result<Self> {
        Self::bind_with(addr, limits, traffic, handler, http::Connections::default()).await
    }

    /// Like [`Server::bind`], with a handle that severs the connections.
    pub async fn bind_with<H: Handler>(
        addr: SocketAddr,
        limits: settings::Limits,
        traffic: &runtime::Traffic,
        handler: Arc<H>,
        connections: http::Connections,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (closing, closed) = channel::bounded(1);
        let active = Arc::new(AtomicUsize::new(0));
        let idle_ms = Arc::new(AtomicU64::new(limits.send_timeout_ms.0));
        let acceptor = Acceptor {
            listener,
            limits,
            traffic: traffic.clone(),
            handler,
            closed,
            active: Arc::clone(&active),
            idle_ms: Arc::clone(&idle_ms),
            connections,
        };
        Ok(Self {
            addr,
            closing,
            active,
            idle_ms,
            _accept: traffic.spawn(acceptor.run()),
        })
    }

    /// The address on which the server listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets how long later connections may stay idle, or take for a head; at
    /// first it is the time to send a request.
    pub fn set_idle(&self, idle: units::Millis) {
        self.idle_ms.store(idle.0, Ordering::Release);
    }

    /// Connections that were open when the server was asked to close, and
    /// still have an answer to deliver; all open connections before that.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Closes idle connections, and each other one after its present answer.
    /// Later connections are served for one request each, which the handler
    /// may refuse; they are not counted as active.
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
    active: Arc<AtomicUsize>,
    idle_ms: Arc<AtomicU64>,
    connections: http::Connections,
}

impl<H: Handler> Acceptor<H> {
    async fn run(self) {
        let connections = Arc::new(AtomicUsize::new(0));
        loop {
            let Ok((tcp, _)) = self.listener.accept().await else {
                Timer::after(ACCEPT_BACKOFF).await;
                continue;
            };
            if connections.fetch_add(1, Ordering::AcqRel) >= self.limits.max_connections {
                connections.fetch_sub(1, Ordering::AcqRel);
                continue;
            }
            let serve = self.serve(tcp);
            let guard = (!self.closed.is_closed()).then(|| ActiveGuard::new(&self.active));
            let connections = ActiveGuard(Arc::clone(&connections));
            let task = async move {
                serve.await;
                drop((guard, connections));
            };
            self.traffic.spawn(task).detach();
        }
    }

    fn serve(&self, tcp: TcpStream) -> impl Future<Output = ()> + Send + 'static {
        let limits = self.limits;
        let idle = units::Millis(self.idle_ms.load(Ordering::Acquire));
        let handler = Arc::clone(&self.handler);
        let closed = self.closed.clone();
        let severed = self.connections.severed();
        async move {
            if let Err(err) = tcp.set_nodelay(true) {
                log::debug!("http: cannot set no-delay: {err}");
            }
            let io = stall::StallLimited::new(tcp, limits.send_timeout_ms.duration());
            let service = service_fn(move |req| {
                let handler = Arc::clone(&handler);
                async move {
                    let reply = handler.handle(req).await;
                    if http::is_abandoned(&reply) {
                        return Err(io::Error::from(io::ErrorKind::ConnectionAborted));
                    }
                    Ok(reply)
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
            // Severed first: a request that arrives with it must not reach the handler.
            if let Err(err) = severed.or(serve_until_closed(connection, closed)).await {
                log::debug!("http: connection ended: {err}");
            }
        }
    }
}

/// Serves a connection; once `closed`, only up to its present answer.
async fn serve_until_closed<S>(
    connection: http1::Connection<FuturesIo<stall::StallLimited>, S>,
    closed: Receiver<Infallible>,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = http::Body>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connection = std::pin::pin!(connection);
    let served = async { Some(connection.as_mut().await) };
    let closing = async {
        // Nothing is ever sent; this ends when the channel is closed.
        let _ = closed.recv().await;
        None
    };
    if let Some(result) = served.or(closing).await {
        return result;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// Counts a connection while it is open.
struct ActiveGuard(Arc<AtomicUsize>);

impl ActiveGuard {
    fn new(active: &Arc<AtomicUsize>) -> Self {
        active.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(active))
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A plain 404, for handlers without a format of their own.
#[must_use]
pub fn not_found() -> http::Reply {
    http::full(StatusCode::NOT_FOUND, "text/plain", "not found\n")
}
