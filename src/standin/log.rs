//! Stand-in for the platform's append-only log.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::Value;
use smol::Timer;

use crate::http;
use crate::ids;
use crate::platform;
use crate::runtime;
use crate::settings;
use crate::standin::serve;
use crate::standin::streams;

/// Records in an answer where the reader states no number.
const DEFAULT_PAGE: usize = 100;

/// A running log; dropping it stops it.
#[derive(Debug)]
pub struct StandinLog {
    log: Arc<Log>,
    server: http::Server,
}

#[derive(Debug, Default)]
struct Log {
    streams: Mutex<streams::Streams>,
    changed: Event,
}

#[derive(serde::Deserialize)]
struct AppendBody {
    records: Vec<Value>,
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, streams::Streams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, command: streams::LogCommand) {
        self.lock().control(command);
        self.changed.notify(usize::MAX);
    }

    fn append(&self, stream: platform::Stream, records: Vec<Value>) -> platform::Append {
        let append = self.lock().append(stream, records);
        self.changed.notify(usize::MAX);
        append
    }

    /// The reply during an outage; `None` while the log is up.
    async fn outage(&self) -> Option<http::Reply> {
        loop {
            let listener = self.changed.listen();
            let outage = self.lock().outage;
            match outage {
                streams::Outage::Up => return None,
                streams::Outage::Refusing => {
                    return Some(serve::status(StatusCode::SERVICE_UNAVAILABLE));
                }
                streams::Outage::Hanging => {}
            }
            listener.await;
            if self.lock().outage == streams::Outage::Up {
                return Some(http::abandoned());
            }
        }
    }

    async fn read(&self, stream: platform::Stream, uri: &hyper::Uri) -> http::Reply {
        let from = serve::query(uri, "from").unwrap_or(ids::Offset(0));
        let max = serve::query(uri, "max").unwrap_or(DEFAULT_PAGE);
        let wait = Duration::from_millis(serve::query(uri, "wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let listener = self.changed.listen();
            if let Some(reply) = self.outage().await {
                return reply;
            }
            let page = self.lock().page(stream, from, max);
            if !page.records.is_empty() || Instant::now() >= until {
                return http::json(StatusCode::OK, &page);
            }
            let _ = runtime::timeout_at(until, listener).await;
        }
    }

    async fn post(&self, stream: platform::Stream, req: Request<Incoming>) -> http::Reply {
        let Some(body) = serve::read_json::<AppendBody>(req).await else {
            return serve::status(StatusCode::BAD_REQUEST);
        };
        if let Some(reply) = self.outage().await {
            return reply;
        }
        let append = self.append(stream, body.records);
        if self.lock().take_loss(stream) {
            return http::abandoned();
        }
        http::json(StatusCode::OK, &append)
    }

    async fn streams(&self, req: Request<Incoming>) -> http::Reply {
        let stream = req
            .uri()
            .path()
            .strip_prefix("/streams/")
            .and_then(|rest| rest.strip_suffix("/records"))
            .and_then(|name| name.parse().ok());
        let Some(stream) = stream else {
            return http::not_found();
        };
        let reply = if req.method() == Method::POST {
            self.post(stream, req).await
        } else {
            self.read(stream, req.uri()).await
        };
        let delay = self.lock().answer_delay.duration();
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        reply
    }
}

impl http::Handler for Log {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        match req.uri().path() {
            "/standin/control" => serve::control(req, |command| self.control(command)).await,
            "/standin/appends" => {
                let appends = self.lock().appends();
                http::json(StatusCode::OK, &appends)
            }
            _ => self.streams(req).await,
        }
    }
}

impl StandinLog {
    /// Serves an empty log on `addr`.
    pub async fn bind(addr: SocketAddr, traffic: &runtime::Traffic) -> io::Result<Self> {
        let log = Arc::new(Log::default());
        let handler = Arc::clone(&log);
        let limits = settings::Limits::default();
        let server = http::Server::bind(addr, limits, traffic, handler).await?;
        Ok(Self { log, server })
    }

    /// The address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets a switch.
    pub fn control(&self, command: streams::LogCommand) {
        self.log.control(command);
    }

    /// Appends a record directly, also during an outage.
    pub fn append(
        &self,
        stream: platform::Stream,
        record: &impl serde::Serialize,
    ) -> serde_json::Result<ids::Offset> {
        let value = serde_json::to_value(record)?;
        Ok(self.log.append(stream, vec![value]).first)
    }

    /// The retained records of a stream.
    #[must_use]
    pub fn records(&self, stream: platform::Stream) -> Vec<Value> {
        self.log.lock().records(stream)
    }

    /// Appends of each stream so far; an append may hold several records.
    #[must_use]
    pub fn appends(&self) -> HashMap<platform::Stream, u64> {
        self.log.lock().appends()
    }
}
