//! One connection of a server, and its row in the table of connections.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol::channel::Receiver;

use crate::http;
use crate::http::eviction::Activity;
use crate::http::{connection_row, connection_table, request_slot};
use crate::units;

/// An open connection in the table; removed when dropped.
#[derive(Debug)]
pub struct Connection {
    table: Arc<connection_table::ConnectionTable>,
    key: connection_table::ConnectionKey,
    /// Closed when the connection is evicted.
    evictions: Receiver<Infallible>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let row = self.table.lock().remove(self.key);
        // Outside the lock, which the requests take that the release wakes.
        drop(row);
    }
}

impl Connection {
    pub(super) const fn new(
        table: Arc<connection_table::ConnectionTable>,
        key: connection_table::ConnectionKey,
        evictions: Receiver<Infallible>,
    ) -> Self {
        Self {
            table,
            key,
            evictions,
        }
    }

    /// Returns the table to which the connection belongs.
    #[must_use]
    pub const fn table(&self) -> &Arc<connection_table::ConnectionTable> {
        &self.table
    }

    pub(super) fn with_row<T>(
        &self,
        update: impl FnOnce(&mut connection_row::Row) -> T,
    ) -> Option<T> {
        self.table.lock().get_mut(self.key).map(update)
    }

    /// Counts received bytes. Returns how many may be received by the next read.
    #[must_use]
    pub fn record_received(&self, bytes: usize) -> usize {
        self.with_row(|row| row.receive(bytes, Instant::now()))
            .unwrap_or(connection_row::READ_SIZE)
    }

    /// Returns the number of bytes that the first read may receive.
    #[must_use]
    pub const fn first_read_size() -> usize {
        connection_row::READ_SIZE
    }

    /// Reserves the memory of an incomplete head, and returns when the head began; `None` if
    /// there is none. If there is no memory, others are evicted, and the next call reserves
    /// again. Fails if nobody can be evicted; the connection is then to be closed.
    pub fn await_head(&self) -> io::Result<Option<Instant>> {
        let (began, is_reserved, need) = self
            .with_row(|row| {
                let began = row.head_began();
                let is_reserved = began.is_none() || row.reserve();
                (began, is_reserved, row.shortfall())
            })
            .unwrap_or((None, false, units::Bytes(0)));
        if is_reserved || self.table.evict_for_memory(need) {
            return Ok(began);
        }
        Err(io::ErrorKind::OutOfMemory.into())
    }

    /// Records whether the caller reads what is written.
    pub fn record_write(&self, is_blocked: bool) {
        self.with_row(|row| row.set_unread(is_blocked, Instant::now()));
    }

    /// Records that the server closes the connection or ends its request.
    pub fn record_close(&self, reason: http::CloseReason) {
        let now = Instant::now();
        if let Some(candidate) = self.with_row(|row| row.candidate(self.key, now)) {
            self.table.record_close(reason, &candidate);
        }
    }

    /// Begins a request, and evicts other connections if it finds no memory. Returns `None`
    /// if there is none to be had; the request is then to be refused.
    pub async fn begin_request(self: &Arc<Self>) -> Option<request_slot::RequestSlot> {
        let begin = || {
            self.with_row(|row| {
                row.begin(Activity::Busy);
                row.reserve()
            }) == Some(true)
        };
        if !begin() {
            let need = self.with_row(|row| row.shortfall());
            let need = need.unwrap_or(units::Bytes(0));
            if !self.table.make_room(need, begin).await {
                self.with_row(|row| row.begin(Activity::Idle));
                return None;
            }
        }
        Some(request_slot::RequestSlot::new(Arc::clone(self)))
    }

    /// Reads the body of a refused request to its end, and keeps nothing of it.
    pub async fn discard_body(&self, mut body: Incoming) {
        self.with_row(|row| row.begin(Activity::Body));
        while let Some(Ok(_)) = body.frame().await {}
    }

    /// Records that a body is no longer discarded.
    pub fn end_discard(&self) {
        self.with_row(connection_row::Row::end_request);
    }

    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        while self.evictions.recv().await.is_ok() {}
    }

    /// Returns whether the connection was evicted and closes soon.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.evictions.is_closed()
    }

    /// Returns whether a request is being handled whose caller still reads or sends.
    #[must_use]
    pub fn is_in_request(&self) -> bool {
        self.with_row(|row| row.is_in_request()).unwrap_or(false)
    }
}
