//! Stand-in for the platform's store, by its published protocol.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, StatusCode};
use serde_json::Value;
use smol::Timer;

use crate::http;
use crate::ids;
use crate::platform;
use crate::platform::store_call;
use crate::runtime;
use crate::settings;
use crate::standin::serve;
use crate::standin::streams;
use crate::units;

/// Records in one listing of the newest of each key.
const MAX_LISTING: usize = 500;
/// Largest body of a call.
const MAX_BODY: units::Bytes = units::Bytes(4 * 1_024 * 1_024);

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

impl Log {
    fn lock(&self) -> MutexGuard<'_, streams::Streams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, command: streams::LogCommand) {
        self.lock().control(command);
        self.changed.notify(usize::MAX);
    }

    fn append(
        &self,
        topic: &str,
        at: Option<ids::Offset>,
        records: Vec<Bytes>,
    ) -> platform::Appended {
        let appended = self.lock().append(topic, at, records);
        self.changed.notify(usize::MAX);
        appended
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

    async fn read(&self, topic: &str, from: ids::Offset, wait: Duration) -> http::Reply {
        let until = Instant::now() + wait;
        loop {
            let listener = self.changed.listen();
            if let Some(reply) = self.outage().await {
                return reply;
            }
            let read = self.lock().read(topic, from);
            let has_news = match &read {
                platform::Read::Records(page) => !page.records.is_empty(),
                platform::Read::Expired { .. } => true,
            };
            if has_news || Instant::now() >= until {
                return answer(store_call::read_answer(&read));
            }
            let _ = runtime::timeout_at(until, listener).await;
        }
    }

    async fn post(&self, topic: &str, at: Option<ids::Offset>, records: Vec<Bytes>) -> http::Reply {
        if let Some(reply) = self.outage().await {
            return reply;
        }
        let count = records.len();
        let appended = self.append(topic, at, records);
        if self.lock().take_loss(topic) {
            return http::abandoned();
        }
        answer(store_call::append_answer(appended, count))
    }

    async fn list(&self, topic: &str, after: Option<&str>) -> http::Reply {
        if let Some(reply) = self.outage().await {
            return reply;
        }
        let newest = self.lock().newest(topic, after, MAX_LISTING);
        answer(store_call::newest_answer(&newest))
    }

    async fn call(&self, req: Request<Incoming>) -> http::Reply {
        let (head, body) = req.into_parts();
        let Ok(body) = http::read_body(body, MAX_BODY).await else {
            return serve::status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let reply = match platform::StoreCall::decode(&head.method, &head.uri, &body) {
            Some(platform::StoreCall::Append { topic, at, records }) => {
                self.post(&topic, at, records).await
            }
            Some(platform::StoreCall::Read { topic, from, wait }) => {
                self.read(&topic, from, wait).await
            }
            Some(platform::StoreCall::Newest { topic, after }) => {
                self.list(&topic, after.as_deref()).await
            }
            None => return http::not_found(),
        };
        let delay = self.lock().answer_delay.duration();
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        reply
    }
}

fn answer((status, body): store_call::StoreAnswer) -> http::Reply {
    http::full(status, "application/octet-stream", body)
}

impl http::Handler for Log {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        match req.uri().path() {
            "/standin/control" => serve::control(req, |command| self.control(command)).await,
            "/standin/appends" => {
                let appends = self.lock().appends();
                http::json(StatusCode::OK, &appends)
            }
            _ => self.call(req).await,
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
        let content = serde_json::to_vec(record)?;
        Ok(self.append_raw(&stream.to_string(), content.into()))
    }

    /// Sets the newest record of a key directly, also during an outage; `None`
    /// removes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let content = platform::with_key(key, value.unwrap_or_default()).unwrap_or_default();
        self.append_raw(topic, content);
    }

    fn append_raw(&self, topic: &str, content: Bytes) -> ids::Offset {
        match self.log.append(topic, None, vec![content]) {
            platform::Appended::At(offset) => offset,
            platform::Appended::Moved { end } => end,
        }
    }

    /// The newest records of all keys of a topic.
    #[must_use]
    pub fn newest(&self, topic: &str) -> Vec<platform::KeyedRecord> {
        self.log.lock().newest(topic, None, usize::MAX).records
    }

    /// Drops the records of a topic below an offset; the newest of each key stays.
    pub fn retain_from(&self, topic: &str, offset: ids::Offset) {
        self.log.lock().retain_from(topic, offset);
    }

    /// The retained records of a stream.
    #[must_use]
    pub fn records(&self, stream: platform::Stream) -> Vec<Value> {
        self.log.lock().records(&stream.to_string())
    }

    /// Appends of each stream so far; an append may hold several records.
    #[must_use]
    pub fn appends(&self) -> HashMap<platform::Stream, u64> {
        self.log.lock().appends()
    }
}
