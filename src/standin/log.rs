//! Stand-in for the platform's append-only log.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

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
use crate::units;

/// Largest append.
const MAX_APPEND: units::Bytes = units::Bytes(4 * 1_024 * 1_024);
/// Interval at which a long poll looks for new records.
const POLL: Duration = Duration::from_millis(5);

/// A running log; dropping it stops it.
#[derive(Debug)]
pub struct StandinLog {
    records: Arc<Records>,
    server: http::Server,
}

#[derive(Debug, Default)]
struct Records(Mutex<HashMap<platform::Stream, Vec<Value>>>);

#[derive(serde::Deserialize)]
struct AppendBody {
    records: Vec<Value>,
}

impl Records {
    fn lock(&self) -> MutexGuard<'_, HashMap<platform::Stream, Vec<Value>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, stream: platform::Stream, records: Vec<Value>) -> platform::Append {
        let mut streams = self.lock();
        let stored = streams.entry(stream).or_default();
        let first = ids::Offset(stored.len() as u64);
        stored.extend(records);
        platform::Append { first }
    }

    fn page(&self, stream: platform::Stream, from: ids::Offset, max: usize) -> platform::Page {
        let mut streams = self.lock();
        let stored = streams.entry(stream).or_default();
        let records = stored
            .iter()
            .zip(0..)
            .skip(usize::try_from(from.0).unwrap_or(usize::MAX))
            .take(max)
            .map(|(body, offset)| platform::LogRecord {
                offset: ids::Offset(offset),
                body: body.clone(),
            })
            .collect();
        platform::Page {
            first_retained: ids::Offset(0),
            end: ids::Offset(stored.len() as u64),
            records,
        }
    }
}

impl http::Handler for Records {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        let stream = req
            .uri()
            .path()
            .strip_prefix("/streams/")
            .and_then(|rest| rest.strip_suffix("/records"));
        let Some(stream) = stream.and_then(|name| name.parse().ok()) else {
            return http::not_found();
        };
        if req.method() == Method::POST {
            let body = http::read_body(req.into_body(), MAX_APPEND).await;
            let parsed = body
                .ok()
                .and_then(|body| serde_json::from_slice::<AppendBody>(&body).ok());
            return match parsed {
                Some(append) => http::json(StatusCode::OK, &self.append(stream, append.records)),
                None => serve::status(StatusCode::BAD_REQUEST),
            };
        }
        let from = serve::query(req.uri(), "from").unwrap_or(ids::Offset(0));
        let max = serve::query(req.uri(), "max").unwrap_or(100);
        let wait = Duration::from_millis(serve::query(req.uri(), "wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let page = self.page(stream, from, max);
            if !page.records.is_empty() || Instant::now() >= until {
                return http::json(StatusCode::OK, &page);
            }
            Timer::after(POLL).await;
        }
    }
}

impl StandinLog {
    /// Serves an empty log on `addr`.
    pub async fn bind(addr: SocketAddr, traffic: &runtime::Traffic) -> io::Result<Self> {
        let records = Arc::new(Records::default());
        let server = http::Server::bind(
            addr,
            settings::Limits::default(),
            traffic,
            Arc::clone(&records),
        )
        .await?;
        Ok(Self { records, server })
    }

    /// The address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Appends a record directly.
    pub fn append(
        &self,
        stream: platform::Stream,
        record: &impl serde::Serialize,
    ) -> serde_json::Result<ids::Offset> {
        let value = serde_json::to_value(record)?;
        Ok(self.records.append(stream, vec![value]).first)
    }

    /// All records of a stream.
    #[must_use]
    pub fn records(&self, stream: platform::Stream) -> Vec<Value> {
        self.records
            .lock()
            .get(&stream)
            .cloned()
            .unwrap_or_default()
    }
}
