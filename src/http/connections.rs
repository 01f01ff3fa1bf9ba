//! Closing connections in the middle of an exchange.

use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::StatusCode;
use smol::channel::{self, Receiver, Sender};

use crate::http;

/// Handle to the open connections of a server.
#[derive(Clone, Debug)]
pub struct Connections(Arc<Mutex<(Sender<()>, Receiver<()>)>>);

impl Default for Connections {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(channel::bounded(1))))
    }
}

impl Connections {
    /// Closes all open connections at once, also in the middle of answers.
    pub fn sever(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = channel::bounded(1);
    }

    /// Ends when the connections that are open now are severed.
    pub(crate) fn severed(&self) -> impl Future<Output = ()> + Send + use<> {
        let rx = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .1
            .clone();
        async move {
            // Nothing is ever sent; the channel closes with its sender.
            let _ = rx.recv().await;
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Abandoned;

/// A reply that closes the connection without an answer.
#[must_use]
pub fn abandoned() -> http::Reply {
    let mut reply = http::full(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "");
    reply.extensions_mut().insert(Abandoned);
    reply
}

/// Whether the reply closes the connection without an answer.
pub(super) fn is_abandoned(reply: &http::Reply) -> bool {
    reply.extensions().get::<Abandoned>().is_some()
}
