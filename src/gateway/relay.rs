//! A stream on its way to the caller.

use std::io;
use std::time::Instant;

use hyper::StatusCode;
use hyper::body::Bytes;

use crate::balance;
use crate::gateway::{call, stream, trace};
use crate::http;

/// Largest event; more without a separator is not a stream of events.
const MAX_EVENT: usize = 1_024 * 1_024;
/// Permitted pauses that are waited for the next event.
const PATIENCE_GAPS: f64 = 2.0;

/// Passes events on, and resumes the stream elsewhere where it breaks off.
#[derive(Debug)]
pub struct Relay {
    call: call::Call,
    source: Option<stream::Source>,
    last_event: Option<u64>,
    status: StatusCode,
}

impl Relay {
    /// Passes on what comes of `source`; the caller has the events up to `last_event`.
    #[must_use]
    pub const fn new(
        call: call::Call,
        source: stream::Source,
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

    /// The next whole events; `None` at the end, an error where the stream
    /// breaks off.
    pub async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let source = self.source.as_mut()?;
            if let Some(bytes) = take_events(&mut source.splitter, &mut self.last_event) {
                self.call.trace.part();
                return Some(Ok(bytes));
            }
            let deadline = gap_deadline(&self.call);
            match stream::read(&mut source.opened, deadline).await {
                stream::Chunk::Data(bytes) => {
                    source.splitter.push(&bytes);
                    if source.splitter.pending() > MAX_EVENT {
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
                stream::Chunk::Late => {
                    if let Err(err) = self.resume(balance::Failure::Silent).await {
                        return Some(Err(err));
                    }
                }
            }
        }
    }

    /// Goes on after the last whole event at another endpoint.
    async fn resume(&mut self, failure: balance::Failure) -> io::Result<()> {
        // Dropped first: the endpoint must not work on while another one goes on.
        if let Some(source) = self.source.take() {
            let endpoint = source.opened.endpoint;
            if let Some(view) = self.call.view() {
                stream::note_break(&mut self.call, &view, &endpoint, failure);
            }
        }
        if self.last_event.is_none() {
            return Err(self.interrupt("the stream has no event ids"));
        }
        if !self.call.try_run_again(&stream::LIMITS) {
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

/// The whole events that have arrived, leaving out those that the caller has.
fn take_events(splitter: &mut http::EventSplitter, last: &mut Option<u64>) -> Option<Bytes> {
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

/// Until when the next event is waited for.
fn gap_deadline(call: &call::Call) -> Instant {
    let Some(gap) = call.rule.event_gap else {
        return call.ends;
    };
    if !call.may_run_again() {
        return call.ends;
    }
    call.ends
        .min(Instant::now() + gap.duration().mul_f64(PATIENCE_GAPS))
}
