//! Life cycle of a request that waits for a place.

use crate::room;

/// State of a request in the line.
#[derive(Debug)]
pub struct Waiting {
    key: room::WaiterKey,
}

/// State of a request whose turn has come. It is out of the line.
#[derive(Debug)]
pub struct Called;

/// A place in the line in the state `S`. It is given up by [`room::Line::leave`], also
/// where the caller leaves.
#[must_use]
#[derive(Debug)]
pub struct Ticket<S> {
    state: S,
}

impl Ticket<Waiting> {
    /// Creates the ticket of a request that has joined the line.
    pub const fn new(key: room::WaiterKey) -> Self {
        Self {
            state: Waiting { key },
        }
    }

    /// Key of the request's row in the line.
    #[must_use]
    pub const fn key(&self) -> room::WaiterKey {
        self.state.key
    }
}

impl From<Ticket<Waiting>> for Ticket<Called> {
    fn from(_: Ticket<Waiting>) -> Self {
        Self { state: Called }
    }
}
