//! Answer of a smaller model that is kept until a larger model has begun to answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;

use crate::cascade;
use crate::direct;
use crate::gateway;
use crate::gateway::{send, stream};
use crate::ids;
use crate::runtime;

/// Maximum size in bytes of the events that are buffered. An answer that exceeds it is
/// read on only when it is used.
const MAX_BUFFER_BYTES: usize = 256 * 1_024;

/// How long an answer of a smaller model is held back.
#[derive(Debug)]
pub struct Hold {
    /// Context that all requests share.
    pub cx: Arc<gateway::Cx>,
    /// Service that runs the request.
    pub service: ids::ServiceName,
    /// Confidence of the model in the answer, from 0 to 1.
    pub confidence: f64,
    /// Latency objective for the first event.
    pub objective: Duration,
    /// Arrival of the request.
    pub arrived: Instant,
    /// Time at which the answer must be complete.
    pub deadline: Instant,
}

impl Hold {
    /// Returns the time until which the larger model may begin, by how fast the service
    /// writes now. `events` is the length of the answer; `None` if it is not known.
    #[must_use]
    pub fn until(&self, events: Option<f64>) -> Instant {
        let limit = self.deadline.saturating_duration_since(self.arrived);
        let writing = events.and_then(|events| self.writing(events));
        let writing = writing.unwrap_or_default();
        self.arrived + cascade::standby_time(self.confidence, self.objective, limit, writing)
    }

    /// Time in which an engine of usual speed writes this many events.
    fn writing(&self, events: f64) -> Option<Duration> {
        self.cx.writing_speed(&self.service).time(events)
    }

    /// Returns whether a larger model that has just begun its answer at an endpoint may still
    /// end it in time.
    #[must_use]
    pub fn may_end_in_time(&self, events: f64, endpoint: &direct::EndpointView) -> bool {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let gap = self.cx.writing_speed(&self.service).gap();
        let factor = endpoint.live.writing_factor(gap, runtime::Moment::now());
        let writing = self.writing(events).unwrap_or_default();
        cascade::may_end_in_time(writing.mul_f64(factor), left)
    }
}

/// A stream of events that is read into a buffer while its caller may still get a better
/// answer.
#[derive(Debug)]
pub struct Standby {
    source: stream::EventSource,
    /// Index of the model that gives the answer.
    model: usize,
    deadline: Instant,
    is_broken: bool,
    /// Number of events of the complete answer; `None` before its end.
    events: Option<u32>,
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
            events: None,
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

    /// Number of events of the answer; `None` unless it is complete. The answer of a larger
    /// model is about as long.
    #[must_use]
    pub fn length(&self) -> Option<f64> {
        self.events.map(f64::from)
    }

    /// Runs `other`, and buffers the answer meanwhile. Returns `None` once the answer is to
    /// be delivered instead.
    pub async fn hold_during<T>(
        &mut self,
        hold: &Hold,
        other: impl Future<Output = T>,
    ) -> Option<T> {
        async { Some(other.await) }
            .or(async {
                // Callers misjudge the length too often to cut the time short by it.
                let until = hold.until(None);
                runtime::timeout_at(until, self.buffer()).await;
                match self.length() {
                    None => {
                        Timer::at(until).await;
                    }
                    // How fast the service writes changes while the answer is held.
                    Some(events) => loop {
                        let until = hold.until(Some(events));
                        if until <= Instant::now() {
                            break;
                        }
                        Timer::at(until).await;
                    },
                }
                None
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
                stream::Chunk::End => {
                    self.events = Some(self.source.splitter.count_events());
                    return;
                }
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
