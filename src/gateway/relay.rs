//! Relay of a stream of events to the caller.

use std::io;
use std::time::Instant;

use hyper::StatusCode;
use hyper::body::Bytes;

use crate::balance;
use crate::gateway::{call, stream, trace};
use crate::http;

/// Maximum size of an event in bytes; more without a separator is not a stream of events.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;
/// Wait for the next event, as a multiple of the gap that the route permits.
const EVENT_GAP_FACTOR: f64 = 2.0;

/// Passes events on to the caller, and resumes the stream at another endpoint if it
/// breaks off.
#[derive(Debug)]
pub struct Relay {
    call: call::Call,
    source: Option<stream::EventSource>,
    last_event: Option<u64>,
    status: StatusCode,
}

impl Relay {
    /// Creates a relay for `source`. The caller already has the events up to
    /// `last_event`.
    #[must_use]
    pub const fn new(
        call: call::Call,
        source: stream::EventSource,
        last_event: Option<u64>,
        status: StatusCode,
    ) -> Self {
        Self {
            call,
            source: Some(source),
            last_event,
            status,
        }
    }

    /// Returns the next complete events; `None` at the end. An error ends the caller's
    /// stream as incomplete.
    pub async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let source = self.source.as_mut()?;
            if let Some(bytes) = take_new_events(&mut source.splitter, &mut self.last_event) {
                self.call.trace.record_part();
                return Some(Ok(bytes));
            }
            let deadline = event_deadline(&self.call);
            match stream::read(&mut source.opened, deadline).await {
                stream::Chunk::Data(bytes) => {
                    source.splitter.push(&bytes);
                    if source.splitter.pending() > MAX_EVENT_BYTES {
                        return Some(Err(self.interrupt("event too large")));
                    }
                }
                stream::Chunk::End if source.splitter.pending() == 0 => {
                    let id = source.opened.endpoint.record.id.clone();
                    self.call.trace.attempt(&id, "answered", &"complete");
                    self.call.clear_suspicion();
                    let status = self.status.as_u16();
                    self.call.trace.finish(trace::Outcome::Answered, status);
                    self.source = None;
                    return None;
                }
                stream::Chunk::End | stream::Chunk::Broken => {
                    if let Err(err) = self.resume(balance::Failure::Broken).await {
                        return Some(Err(err));
                    }
                }
                stream::Chunk::TimedOut => {
                    if let Err(err) = self.resume(balance::Failure::Silent).await {
                        return Some(Err(err));
                    }
                }
            }
        }
    }

    /// Resumes the stream after the last event that was passed on, at another endpoint.
    async fn resume(&mut self, failure: balance::Failure) -> io::Result<()> {
        // Dropped first, so that the endpoint stops working before another one continues.
        if let Some(source) = self.source.take() {
            let endpoint = source.opened.endpoint;
            if let Some(view) = self.call.view() {
                stream::record_break(&mut self.call, &view, &endpoint, failure);
            }
        }
        if self.last_event.is_none() {
            return Err(self.interrupt("the stream has no event ids"));
        }
        if !self.call.take_retry(&stream::RETRY_LIMITS) {
            return Err(self.interrupt("no further run is allowed"));
        }
        match stream::open(&mut self.call, self.last_event).await {
            Ok(source) => {
                self.source = Some(source);
                Ok(())
            }
            Err(_) => Err(self.interrupt("no endpoint goes on")),
        }
    }

    fn interrupt(&mut self, reason: &'static str) -> io::Error {
        self.call.trace.note("interrupted", &reason);
        self.call
            .trace
            .finish(trace::Outcome::Interrupted, self.status.as_u16());
        io::Error::new(io::ErrorKind::ConnectionAborted, reason)
    }
}

/// Takes the complete events that have arrived, without those that the caller already
/// has.
fn take_new_events(splitter: &mut http::EventSplitter, last: &mut Option<u64>) -> Option<Bytes> {
    let mut taken = Vec::new();
    while let Some(event) = splitter.next_event() {
        if let (Some(id), Some(last)) = (event.id, *last)
            && id <= last
        {
            continue;
        }
        if event.id.is_some() {
            *last = event.id;
        }
        taken.extend_from_slice(&event.bytes);
    }
    (!taken.is_empty()).then(|| taken.into())
}

/// Returns the time until which to wait for the next event: the request's deadline if the
/// route sets no limit on gaps or a retry is not allowed.
fn event_deadline(call: &call::Call) -> Instant {
    let Some(gap) = call.rule.event_gap else {
        return call.deadline;
    };
    if !call.may_retry() {
        return call.deadline;
    }
    call.deadline
        .min(Instant::now() + gap.duration().mul_f64(EVENT_GAP_FACTOR))
}
