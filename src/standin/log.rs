//! Stand-in for the platform's store that speaks its published protocol.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use event_listener::Event;
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use serde_json::Value;
use smol::Timer;

use crate::http;
use crate::ids;
use crate::platform;
use crate::platform::{group, store_call};
use crate::runtime;
use crate::settings;
use crate::standin::topics;
use crate::standin::{groups, serve};
use crate::units;

/// Largest accepted request body.
const MAX_BODY: units::Bytes = units::Bytes(4 * 1_024 * 1_024);

/// A running stand-in log; dropping it stops its server.
#[derive(Debug)]
pub struct StandinLog {
    log: Arc<Log>,
    server: http::Server,
}

#[derive(Debug, Default)]
struct Log {
    state: Mutex<topics::Topics>,
    group: Mutex<groups::Group>,
    changed: Event,
    /// Calls by kind.
    calls: Mutex<HashMap<&'static str, u64>>,
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, topics::Topics> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_group(&self) -> MutexGuard<'_, groups::Group> {
        self.group.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, command: topics::LogCommand) {
        self.lock().control(command);
        self.changed.notify(usize::MAX);
    }

    fn append(
        &self,
        topic: &str,
        at: Option<ids::Offset>,
        records: Vec<Bytes>,
    ) -> platform::AppendOutcome {
        let appended = self.lock().append(topic, at, records);
        self.changed.notify(usize::MAX);
        appended
    }

    /// Returns the reply that an outage requires, or `None` if the log is up.
    /// Waits for the end of the outage if the log is to hang.
    async fn outage(&self) -> Option<http::Reply> {
        loop {
            let listener = self.changed.listen();
            let outage = self.lock().outage;
            match outage {
                topics::Outage::Up => return None,
                topics::Outage::Refusing => {
                    return Some(serve::status(StatusCode::SERVICE_UNAVAILABLE));
                }
                topics::Outage::Hanging => {}
            }
            listener.await;
            if self.lock().outage == topics::Outage::Up {
                return Some(http::abort_connection());
            }
        }
    }

    /// Reads a page of records; waits up to `wait` for a first one (long poll).
    async fn read(&self, topic: &str, from: ids::Offset, wait: Duration) -> http::Reply {
        let deadline = Instant::now() + wait;
        loop {
            let listener = self.changed.listen();
            if let Some(reply) = self.outage().await {
                return reply;
            }
            let read = self.lock().read(topic, from);
            let has_update = match &read {
                platform::ReadOutcome::Records(page) => !page.records.is_empty(),
                platform::ReadOutcome::Expired { .. } => true,
            };
            if has_update || Instant::now() >= deadline {
                return store_reply(store_call::read_answer(&read));
            }
            let _ = runtime::timeout_at(deadline, listener).await;
        }
    }

    /// Appends records; the answer is lost if a control command asks for it.
    async fn handle_append(
        &self,
        topic: &str,
        at: Option<ids::Offset>,
        records: Vec<Bytes>,
    ) -> http::Reply {
        if let Some(reply) = self.outage().await {
            return reply;
        }
        let count = records.len();
        let appended = self.append(topic, at, records);
        if self.lock().take_lost_answer(topic) {
            return http::abort_connection();
        }
        store_reply(store_call::append_answer(appended, count))
    }

    /// Lists one page of the newest records of a topic by key.
    async fn handle_newest(&self, topic: &str, after: Option<&[u8]>) -> http::Reply {
        if let Some(reply) = self.outage().await {
            return reply;
        }
        let newest = self.lock().newest(topic, after, topics::PageSize::STATED);
        store_reply(store_call::newest_answer(&newest))
    }

    /// Joins a member to a group.
    async fn handle_join(&self, join: &group::Join) -> http::Reply {
        if let Some(reply) = self.outage().await {
            return reply;
        }
        let membership = self.lock_group().join(join, Instant::now());
        store_reply(store_call::join_answer(&membership))
    }

    /// Lists the members of the group.
    async fn handle_owners(&self) -> http::Reply {
        if let Some(reply) = self.outage().await {
            return reply;
        }
        let owned = self.lock_group().owned();
        store_reply(store_call::owners_answer(&owned))
    }

    fn count(&self, kind: &'static str) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        *calls.entry(kind).or_default() += 1;
    }

    /// Decodes and executes one call, then waits for the configured answer delay.
    async fn call(&self, req: Request<Incoming>) -> http::Reply {
        let (head, body) = req.into_parts();
        self.count(store_call::kind(&head.uri.to_string()));
        let Ok(body) = http::read_body(body, MAX_BODY, None).await else {
            return serve::status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let mut reply = match platform::StoreCall::decode(&head.method, &head.uri, &body) {
            Some(platform::StoreCall::Append { topic, at, records }) => {
                self.handle_append(&topic, at, records).await
            }
            Some(platform::StoreCall::Read { topic, from, wait }) => {
                self.read(&topic, from, wait).await
            }
            Some(platform::StoreCall::Newest { topic, after }) => {
                self.handle_newest(&topic, after.as_deref()).await
            }
            Some(platform::StoreCall::Join(join)) => self.handle_join(&join).await,
            Some(platform::StoreCall::Owners) => self.handle_owners().await,
            None => return http::not_found(),
        };
        let delay = self.lock().answer_delay.duration();
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        let era = self.lock().era.0;
        reply
            .headers_mut()
            .insert(store_call::ERA, HeaderValue::from(era));
        reply
    }
}

fn store_reply((status, body): store_call::StoreAnswer) -> http::Reply {
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
    /// Serves an empty log on `addr`; port 0 lets the system choose one.
    pub async fn bind(addr: SocketAddr, traffic: &runtime::Traffic) -> io::Result<Self> {
        let log = Arc::new(Log::default());
        let handler = Arc::clone(&log);
        let limits = settings::Limits::default();
        let server = http::Server::bind(addr, limits, traffic, handler).await?;
        Ok(Self { log, server })
    }

    /// Returns the bound address, with the port that the system chose for port 0.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Applies a command, as `POST /standin/control` does.
    pub fn control(&self, command: topics::LogCommand) {
        self.log.control(command);
    }

    /// Appends a record without going through HTTP, also during an outage;
    /// returns its offset.
    pub fn append(
        &self,
        stream: platform::Stream,
        record: &impl serde::Serialize,
    ) -> serde_json::Result<ids::Offset> {
        let content = serde_json::to_vec(record)?;
        Ok(self.append_raw(&stream.to_string(), content.into()))
    }

    /// Sets the newest record of a key without going through HTTP, also during
    /// an outage; `None` removes the key.
    pub fn put(&self, topic: &str, key: impl AsRef<[u8]>, value: Option<&[u8]>) {
        let content = platform::with_key(key, value.unwrap_or_default()).unwrap_or_default();
        self.append_raw(topic, content);
    }

    fn append_raw(&self, topic: &str, content: Bytes) -> ids::Offset {
        match self.log.append(topic, None, vec![content]) {
            platform::AppendOutcome::AppendedAt(offset) => offset,
            platform::AppendOutcome::EndMismatch { end } => end,
        }
    }

    /// Returns a copy of all records.
    #[must_use]
    pub fn copy(&self) -> topics::LogCopy {
        self.log.lock().copy()
    }

    /// Replaces all records by those of a copy, as a store that comes back from one does:
    /// later offsets are given out again, and the era rises.
    pub fn restore(&self, copy: &topics::LogCopy) {
        self.log.lock().restore(copy);
        self.log.changed.notify(usize::MAX);
    }

    /// Returns the number of calls of this kind so far, as in the metrics of the callers.
    #[must_use]
    pub fn calls(&self, kind: &str) -> u64 {
        let calls = self.log.calls.lock();
        let calls = calls.unwrap_or_else(PoisonError::into_inner);
        calls.get(kind).copied().unwrap_or_default()
    }

    /// Returns the newest record of each key of a topic.
    #[must_use]
    pub fn newest(&self, topic: &str) -> Vec<platform::KeyedRecord> {
        let all = topics::PageSize::UNLIMITED;
        self.log.lock().newest(topic, None, all).records
    }

    /// Truncates a topic below `offset`; the newest record of each key stays.
    pub fn retain_from(&self, topic: &str, offset: ids::Offset) {
        self.log.lock().retain_from(topic, offset);
    }

    /// Returns the retained records of a stream, oldest first.
    #[must_use]
    pub fn records(&self, stream: platform::Stream) -> Vec<Value> {
        self.log.lock().records(&stream.to_string())
    }

    /// Returns the number of appends per stream; one append may hold several records.
    #[must_use]
    pub fn appends(&self) -> HashMap<platform::Stream, u64> {
        self.log.lock().appends()
    }
}
