//! Closing of connections in the middle of an exchange, for servers that simulate
//! failures.

use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::StatusCode;
use smol::channel::{self, Receiver, Sender};

use crate::http;

/// Handle by which all open connections of a server can be closed.
#[derive(Clone, Debug)]
pub struct Connections(Arc<Mutex<(Sender<()>, Receiver<()>)>>);

impl Default for Connections {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(channel::bounded(1))))
    }
}

impl Connections {
    /// Closes all open connections immediately, even in the middle of an answer.
    pub fn sever(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = channel::bounded(1);
    }

    /// Returns a future that completes when the connections open at the time of the call
    /// are severed.
    pub(crate) fn severed(&self) -> impl Future<Output = ()> + Send + use<> {
        let rx = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .1
            .clone();
        async move {
            // No value is ever sent; `recv` returns when the sender is dropped.
            let _ = rx.recv().await;
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Abandoned;

/// Returns a reply that makes the server close the connection without an answer.
#[must_use]
pub fn abort_connection() -> http::Reply {
    let mut reply = http::full(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "");
    reply.extensions_mut().insert(Abandoned);
    reply
}

/// Returns whether the reply was made by [`abort_connection`].
pub(super) fn is_abandoned(reply: &http::Reply) -> bool {
    reply.extensions().get::<Abandoned>().is_some()
}
