//! Answer of a smaller model that is kept until a larger model has begun to answer.

use std::sync::Arc;
use std::time::Instant;

use crate::direct;
use crate::gateway::{send, stream};

/// Maximum size in bytes of the events that are buffered. An answer that exceeds it is
/// read on only when it is used.
const MAX_BUFFER_BYTES: usize = 256 * 1_024;

/// A stream of events that is read into a buffer while its caller may still get a better
/// answer.
#[derive(Debug)]
pub struct Standby {
    source: stream::EventSource,
    /// Index of the model that gives the answer.
    model: usize,
    deadline: Instant,
    is_broken: bool,
}

impl Standby {
    /// Keeps the answer of the model with this index, of which nothing was read yet. It
    /// must be complete by `deadline`.
    #[must_use]
    pub fn new(mut opened: send::Opened, model: usize, deadline: Instant) -> Self {
        opened.permit.record_first_byte();
        let mut source = stream::EventSource::new(opened);
        source.is_live = false;
        Self {
            source,
            model,
            deadline,
            is_broken: false,
        }
    }

    /// Index of the model that gives the answer.
    #[must_use]
    pub const fn model(&self) -> usize {
        self.model
    }

    /// Endpoint that sends the answer.
    #[must_use]
    pub fn endpoint(&self) -> &Arc<direct::EndpointView> {
        &self.source.opened.endpoint
    }

    /// Runs `other`, and buffers the answer meanwhile.
    pub async fn buffer_during<T>(&mut self, other: impl Future<Output = T>) -> T {
        smol::future::or(other, async {
            self.buffer().await;
            std::future::pending().await
        })
        .await
    }

    /// Buffers the answer until it ends, breaks off or fills the buffer.
    async fn buffer(&mut self) {
        while self.source.splitter.pending() < MAX_BUFFER_BYTES {
            match stream::read(&mut self.source.opened, self.deadline).await {
                stream::Chunk::Data(bytes) => {
                    if self.source.push(&bytes).is_err() {
                        self.is_broken = true;
                        return;
                    }
                }
                stream::Chunk::End => return,
                stream::Chunk::Broken | stream::Chunk::TimedOut => {
                    self.is_broken = true;
                    return;
                }
            }
        }
    }

    /// Returns the answer for the caller; `None` if it broke off before its first event.
    #[must_use]
    pub fn into_source(mut self) -> Option<stream::EventSource> {
        (!self.is_broken || self.source.splitter.has_event()).then_some(self.source)
    }
}
