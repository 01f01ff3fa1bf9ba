//! A server with bounds on heads, connections and sending time.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use smol::future::FutureExt;
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::http;
use crate::runtime;
use crate::settings;

/// Pause after a failed accept, such as one for lack of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = http::Reply> + Send;
}

/// A running server; dropping it stops accepting.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    closing: Arc<AtomicBool>,
    active: Arc<AtomicUsize>,
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
        let closing = Arc::new(AtomicBool::new(false));
        let active = Arc::new(AtomicUsize::new(0));
        let acceptor = Acceptor {
            listener,
            limits,
            traffic: traffic.clone(),
            handler,
            closing: Arc::clone(&closing),
            active: Arc::clone(&active),
            connections,
        };
        Ok(Self {
            addr,
            closing,
            active,
            _accept: traffic.spawn(acceptor.run()),
        })
    }

    /// The address on which the server listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Requests being answered.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Asks callers to close their connections after their present request.
    pub fn close_idle(&self) {
        self.closing.store(true, Ordering::Release);
    }
}

struct Acceptor<H> {
    listener: TcpListener,
    limits: settings::Limits,
    traffic: runtime::Traffic,
    handler: Arc<H>,
    closing: Arc<AtomicBool>,
    active: Arc<AtomicUsize>,
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
            let connections = Arc::clone(&connections);
            let task = async move {
                serve.await;
                connections.fetch_sub(1, Ordering::AcqRel);
            };
            self.traffic.spawn(task).detach();
        }
    }

    fn serve(&self, tcp: TcpStream) -> impl Future<Output = ()> + Send + 'static {
        let limits = self.limits;
        let handler = Arc::clone(&self.handler);
        let closing = Arc::clone(&self.closing);
        let active = Arc::clone(&self.active);
        let severed = self.connections.severed();
        async move {
            if let Err(err) = tcp.set_nodelay(true) {
                log::debug!("http: cannot set no-delay: {err}");
            }
            let service = service_fn(move |req| {
                let handler = Arc::clone(&handler);
                let closing = Arc::clone(&closing);
                let guard = ActiveGuard::new(&active);
                async move {
                    let mut reply = handler.handle(req).await;
                    if closing.load(Ordering::Acquire) {
                        reply.headers_mut().insert(
                            hyper::header::CONNECTION,
                            hyper::header::HeaderValue::from_static("close"),
                        );
                    }
                    drop(guard);
                    if http::is_abandoned(&reply) {
                        return Err(io::Error::from(io::ErrorKind::ConnectionAborted));
                    }
                    Ok(reply)
                }
            });
            let served = http1::Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(limits.send_timeout_ms.duration())
                .max_buf_size(limits.head_bytes.as_usize().max(8_192))
                .serve_connection(FuturesIo::new(tcp), service)
                .or(async {
                    severed.await;
                    Ok(())
                })
                .await;
            if let Err(err) = served {
                log::debug!("http: connection ended: {err}");
            }
        }
    }
}

/// Counts a request while it is being answered.
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
