//! Memory of a request in progress, and the life cycle of its body.

use std::sync::Arc;

use crate::http;
use crate::http::eviction::Activity;
use crate::http::{connection, connection_row};
use crate::units;

/// The memory of a request in progress, until its answer was handed over completely.
#[derive(Debug)]
pub struct RequestSlot(Arc<connection::Connection>);

impl Drop for RequestSlot {
    fn drop(&mut self) {
        self.0.with_row(connection_row::Row::end_request);
    }
}

impl RequestSlot {
    pub(super) const fn new(connection: Arc<connection::Connection>) -> Self {
        Self(connection)
    }

    /// Returns the handle by which the handler reads the body.
    #[must_use]
    pub fn body(&self) -> UnreadBody {
        UnreadBody(Arc::clone(&self.0))
    }
}

/// A request body of which nothing was read yet.
#[derive(Clone, Debug)]
pub struct UnreadBody(Arc<connection::Connection>);

impl UnreadBody {
    /// Begins to read the body. Until it is complete, the connection may be evicted.
    #[must_use]
    pub fn begin(self) -> BodyReading {
        self.0.with_row(|row| row.begin(Activity::Body));
        BodyReading(self.0)
    }
}

/// A request body in the course of being read.
#[derive(Debug)]
pub struct BodyReading(Arc<connection::Connection>);

impl BodyReading {
    /// Returns the memory for bodies; `None` if it is not limited.
    #[must_use]
    pub fn budget(&self) -> Option<&Arc<http::BufferBudget>> {
        self.0.table().budget()
    }

    /// Records the memory that the body holds.
    pub fn set_held(&self, bytes: usize) {
        self.0.with_row(|row| row.set_body(bytes));
    }

    /// Evicts other connections that hold `need` bytes, and tries to reserve memory until
    /// `attempt` returns true, for a limited time. Returns whether it did.
    pub async fn make_room(&self, need: units::Bytes, attempt: impl FnMut() -> bool) -> bool {
        self.0.table().make_room(need, attempt).await
    }

    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        self.0.evicted().await;
    }

    /// Records that the request is ended for lack of progress.
    pub fn record_stall(&self) {
        self.0.record_close(http::CloseReason::BodyStall);
    }
}

impl Drop for BodyReading {
    fn drop(&mut self) {
        // A refused request has its answer delivered like any other.
        self.0.with_row(|row| row.begin(Activity::Busy));
    }
}
