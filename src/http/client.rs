//! A client of one server that keeps idle connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::http;
use crate::runtime;
use crate::units;

/// Time for the TCP connection; one round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle connections that are kept.
const MAX_IDLE: usize = 64;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Client of one server.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    addr: SocketAddr,
    traffic: runtime::Traffic,
    idle: Mutex<Vec<Sender>>,
}

impl Shared {
    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() && sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn give_back(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE {
            idle.push(sender);
        }
    }
}

impl Client {
    /// A client of the server at `addr`; connects on first use.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self {
            shared: Arc::new(Shared {
                addr,
                traffic,
                idle: Mutex::default(),
            }),
        }
    }

    /// The server's address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &self,
        mut req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, http::HttpError> {
        if let Ok(host) = HeaderValue::from_str(&self.shared.addr.to_string()) {
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
        while let Some(mut sender) = self.shared.take_idle() {
            match sender.try_send_request(req).await {
                Ok(response) => return Ok(self.answer(response, sender)),
                // The idle connection was closed before the request was
                // written, so it is safe to send it on another one.
                Err(mut err) => match err.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(http::HttpError::from(err.into_error())),
                },
            }
        }
        let mut sender = self.connect().await?;
        let response = sender.send_request(req).await?;
        Ok(self.answer(response, sender))
    }

    async fn connect(&self) -> Result<Sender, http::HttpError> {
        let tcp = TcpStream::connect(self.shared.addr)
            .or(async {
                Timer::after(CONNECT_TIMEOUT).await;
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
        self.shared.traffic.spawn(driver).detach();
        Ok(sender)
    }

    fn answer(&self, response: hyper::Response<Incoming>, sender: Sender) -> Answer {
        let (head, body) = response.into_parts();
        Answer {
            status: head.status,
            headers: head.headers,
            body,
            sender: Some(sender),
            shared: Arc::clone(&self.shared),
        }
    }
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
    sender: Option<Sender>,
    shared: Arc<Shared>,
}

impl Answer {
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
        if let Some(sender) = self.sender.take() {
            self.shared.give_back(sender);
        }
    }
}
