//! Relay of a stream of events to the caller.

use std::io;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::body::Bytes;

use crate::balance;
use crate::gateway::{call, stream, trace};
use crate::http;
use crate::runtime;

/// Wait for the next event, as a multiple of the gap that the route permits.
const EVENT_GAP_FACTOR: f64 = 2.0;

/// Passes events on to the caller, and resumes the stream at another endpoint if it
/// breaks off.
#[derive(Debug)]
pub struct Relay {
    call: call::Call,
    source: Option<stream::EventSource>,
    last_event: Option<u64>,
    /// Time spent waiting for the next event while only comments were passed on. The time
    /// that the caller takes to read does not count.
    waited: Duration,
    /// Time spent waiting since the last event of the source, and their number; `None` if
    /// they don't tell how fast the endpoint writes.
    writing: Option<(Duration, u32)>,
    continuation: Continuation,
    status: StatusCode,
}

/// What is known of the answer that continues the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Continuation {
    /// It has begun with an event of the stream, or nothing was passed on before it.
    Begun,
    /// It declares to be a stream of events; the caller may have had the last event already.
    Declared,
    /// Its type is not stated.
    Undeclared,
    /// It holds something that is no event of the stream.
    Foreign,
}

impl Relay {
    /// Creates a relay for `source`. The caller already has the events up to
    /// `last_event`.
    #[must_use]
    pub fn new(
        call: call::Call,
        source: stream::EventSource,
        last_event: Option<u64>,
        status: StatusCode,
    ) -> Self {
        let is_whole = source.is_live && last_event.is_none();
        Self {
            call,
            source: Some(source),
            last_event,
            waited: Duration::ZERO,
            writing: is_whole.then_some((Duration::ZERO, 0)),
            continuation: Continuation::Begun,
            status,
        }
    }

    /// Returns the next complete events; `None` at the end. An error ends the caller's
    /// stream as incomplete.
    pub async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let mut waiting_since = Instant::now();
        loop {
            if self.continuation == Continuation::Foreign {
                if let Err(err) = self.resume(balance::Failure::Broken).await {
                    return Some(Err(err));
                }
                waiting_since = Instant::now();
            }
            let source = self.source.as_mut()?;
            let taken = take_new_events(
                &mut source.splitter,
                &mut self.last_event,
                &mut self.continuation,
            );
            if self.continuation == Continuation::Foreign && taken.is_none() {
                continue;
            }
            if let Some(taken) = taken {
                self.waited = if taken.events > 0 {
                    self.record_events(taken.events);
                    Duration::ZERO
                } else {
                    self.waited + waiting_since.elapsed()
                };
                self.call.trace.record_part();
                return Some(Ok(taken.bytes));
            }
            let deadline = event_deadline(&self.call, waiting_since, self.waited);
            let began = Instant::now();
            let chunk = stream::read(&mut source.opened, deadline).await;
            if let Some((gap, _)) = &mut self.writing {
                *gap += began.elapsed();
            }
            match chunk {
                stream::Chunk::Data(bytes) => {
                    if source.push(&bytes).is_err() {
                        return Some(Err(self.interrupt("event too large")));
                    }
                }
                stream::Chunk::End
                    if source.splitter.pending() == 0
                        && self.continuation != Continuation::Undeclared =>
                {
                    let id = source.opened.endpoint.record.id.clone();
                    self.call.trace.attempt(&id, "answered", &"complete");
                    self.call.clear_suspicion();
                    self.record_length();
                    let status = self.status.as_u16();
                    self.call.trace.finish(trace::Outcome::Answered, status);
                    self.source = None;
                    return None;
                }
                stream::Chunk::End | stream::Chunk::Broken => {
                    if let Err(err) = self.resume(balance::Failure::Broken).await {
                        return Some(Err(err));
                    }
                    waiting_since = Instant::now();
                }
                stream::Chunk::TimedOut => {
                    // No other endpoint may go on, and this one may only have paused.
                    if !self.call.may_retry() && Instant::now() < self.call.deadline {
                        waiting_since = Instant::now();
                        continue;
                    }
                    if let Err(err) = self.resume(balance::Failure::Silent).await {
                        return Some(Err(err));
                    }
                    waiting_since = Instant::now();
                }
            }
        }
    }

    /// Records that the endpoint has written these events, one after the other.
    fn record_events(&mut self, events: u32) {
        let Some((gap, count)) = &mut self.writing else {
            return;
        };
        let mean = *gap / events;
        // The time before the first event doesn't tell how fast the endpoint writes.
        let is_first = *count == 0;
        *gap = Duration::ZERO;
        *count += events;
        let Some(source) = self.source.as_ref().filter(|_| !is_first) else {
            return;
        };
        let live = &source.opened.endpoint.live;
        let usual = live.speed().map_or(1.0, |speed| speed.usual());
        let cx = &self.call.cx;
        for _ in 0..events {
            live.record_event_gap(mean, runtime::Moment::now());
            cx.record_event_gap(&self.call.service, mean.div_f64(usual));
        }
    }

    /// Records the length of the complete answer.
    fn record_length(&self) {
        let expected = self.call.metadata.output;
        if let (Some((_, events)), Some(expected)) = (self.writing, expected) {
            let Self { call, .. } = self;
            call.cx.record_length(&call.service, expected, events);
        }
    }

    /// Resumes the stream after the last event that was passed on, at another endpoint.
    async fn resume(&mut self, failure: balance::Failure) -> io::Result<()> {
        self.writing = None;
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
                self.continuation = match source.opened.declares_events() {
                    Some(true) => Continuation::Declared,
                    Some(false) => Continuation::Foreign,
                    None => Continuation::Undeclared,
                };
                self.source = Some(source);
                self.waited = Duration::ZERO;
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

/// Bytes that are passed on to the caller.
struct TakenEvents {
    bytes: Bytes,
    /// Number of events among them; the others are comments.
    events: u32,
}

/// Takes the complete events that have arrived, without those that the caller already
/// has. Stops at one without an id in a stream whose events have ids: an error that the
/// endpoint sends in place of the next event.
fn take_new_events(
    splitter: &mut http::EventSplitter,
    last: &mut Option<u64>,
    continuation: &mut Continuation,
) -> Option<TakenEvents> {
    let mut taken = Vec::new();
    let mut events = 0;
    while let Some(event) = splitter.next_event() {
        if let (Some(id), Some(last)) = (event.id, *last)
            && id <= last
        {
            continue;
        }
        if event.id.is_some() {
            *last = event.id;
            *continuation = Continuation::Begun;
        } else if last.is_some() && !event.is_comment() {
            *continuation = Continuation::Foreign;
            break;
        }
        events += u32::from(!event.is_comment());
        taken.extend_from_slice(&event.bytes);
    }
    (!taken.is_empty()).then(|| TakenEvents {
        bytes: taken.into(),
        events,
    })
}

/// Returns the time until which to wait for the next event: the request's deadline if the
/// route sets no limit on gaps or a retry is not allowed. `waited` is the time spent
/// before `waiting_since`.
fn event_deadline(call: &call::Call, waiting_since: Instant, waited: Duration) -> Instant {
    let Some(gap) = call.rule.event_gap else {
        return call.deadline;
    };
    if !call.may_retry() {
        return call.deadline;
    }
    let limit = gap.duration().mul_f64(EVENT_GAP_FACTOR);
    call.deadline
        .min(waiting_since + limit.saturating_sub(waited))
}
