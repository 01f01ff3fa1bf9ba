//! Requests that are answered with a stream of events.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::body::Bytes;
use smol::stream;

use crate::balance;
use crate::cascade;
use crate::direct;
use crate::errors;
use crate::gateway::{call, pace, plain, relay, send, standby, trace};
use crate::http;
use crate::observe;
use crate::platform;
use crate::rollout;
use crate::runtime;
use crate::units;

/// Maximum body of an endpoint's failure that is passed on to the caller.
const MAX_FAILURE_BODY: units::Bytes = units::Bytes(64 * 1_024);
/// Time limit for reading the body of a failure.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// Limits on attempts with a stream. The timeouts apply to endpoints that respond to
/// other requests: a busy one would have to process the prompt again for a retried
/// request.
pub const RETRY_LIMITS: call::RetryLimits = call::RetryLimits {
    objective_factor: 1.6,
    mean_first_byte_factor: 5.0,
    max_refusals: 5,
    min_time_left: Duration::from_millis(50),
};

/// Maximum size of an event in bytes; more without a separator is not a stream of events.
pub const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// A stream of events that has begun to arrive.
#[derive(Debug)]
pub struct EventSource {
    /// Response whose body carries the events.
    pub opened: send::Opened,
    /// Buffer of bytes that have arrived and were not passed on yet.
    pub splitter: http::EventSplitter,
    /// Whether its events are passed on as they arrive, so that their times tell how fast the
    /// endpoint writes.
    pub is_live: bool,
    reservation: Option<http::Reservation>,
}

impl EventSource {
    /// Creates a source from an answer of which nothing was read yet.
    #[must_use]
    pub fn new(opened: send::Opened) -> Self {
        Self {
            reservation: opened.answer.reserve(),
            opened,
            splitter: http::EventSplitter::default(),
            is_live: true,
        }
    }

    /// Adds bytes that have arrived. Fails if too many of them are no complete event, or the
    /// answers of the endpoint do not fit into their memory.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), http::HttpError> {
        self.splitter.push(bytes);
        let pending = self.splitter.pending();
        if pending > MAX_EVENT_BYTES {
            return Err(http::HttpError::TooLarge);
        }
        let reservation = self.reservation.as_mut();
        if reservation.is_none_or(|reservation| reservation.resize(pending)) {
            Ok(())
        } else {
            Err(http::HttpError::OverBudget)
        }
    }
}

/// Why no stream has begun.
pub enum NoStream {
    /// The service of the route is unknown.
    UnknownService,
    /// No endpoint has begun to answer.
    NoAnswer,
    /// An endpoint has answered with a failure. The reply is `None` if it broke off.
    Failed(StatusCode, Option<http::Reply>),
}

/// Runs the request. The reply passes events on as they arrive.
pub async fn run(mut call: call::Call) -> http::Reply {
    let resume_after = call.metadata.last_event;
    let source = match open(&mut call, resume_after).await {
        Ok(source) => source,
        Err(NoStream::UnknownService) => {
            let code = errors::ResultCode::NoEndpoint;
            return plain::refuse(&mut call, code, "the service is unknown");
        }
        Err(NoStream::NoAnswer) => return plain::end_without_answer(&mut call),
        Err(NoStream::Failed(status, reply)) => {
            return deliver_failure(&mut call, status, reply);
        }
    };
    let status = source.opened.answer.status;
    let headers = platform::headers::encode_answer(&source.opened.answer.headers);
    let relay = relay::Relay::new(call, source, resume_after, status);
    let chunks = stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next().await?;
        Some((chunk, relay))
    });
    http::generated(status, headers, chunks)
}

/// Sends the request until a stream has begun.
pub async fn open(
    call: &mut call::Call,
    resume_after: Option<u64>,
) -> Result<EventSource, NoStream> {
    loop {
        let view = call.view().ok_or(NoStream::UnknownService)?;
        let choice = call.choose(&view).ok_or(NoStream::NoAnswer)?;
        let timeout = call.attempt_timeout(&choice.endpoint, &RETRY_LIMITS);
        let started = Instant::now();
        let opened = match send::send(call, &view, choice, resume_after, timeout).await {
            Ok(opened) => opened,
            Err(send::AttemptError::NotRun(cause, _)) => {
                if !call.take_retry_elsewhere(cause, &RETRY_LIMITS) {
                    return Err(NoStream::NoAnswer);
                }
                continue;
            }
            Err(send::AttemptError::Unknown(..)) => {
                if !call.take_retry(&RETRY_LIMITS) {
                    return Err(NoStream::NoAnswer);
                }
                continue;
            }
        };
        let status = opened.answer.status;
        if !status.is_success() {
            let reply = read_failure(call, &view, opened).await;
            if status.is_server_error() && call.take_retry(&RETRY_LIMITS) {
                continue;
            }
            return Err(NoStream::Failed(status, reply));
        }
        if resume_after.is_none()
            && let Some(larger) = escalation(call, &view, &opened)
        {
            match escalate(call, &view, opened, larger).await {
                Some(answer) => return answer,
                None => continue,
            }
        }
        match first_event(call, opened, started + timeout).await {
            Ok(source) => {
                let first = source.opened.sent.elapsed();
                let objective = call.rule.objective.duration();
                call.cx.record_first_event(&call.service, first, objective);
                source.opened.record_success(call, first);
                let outcome = rollout::AttemptOutcome::Answered(Some(first));
                call.observe(&view, &source.opened.endpoint, outcome);
                return Ok(source);
            }
            Err((endpoint, failure)) => {
                record_break(call, &view, &endpoint, failure);
                if !call.take_retry(&RETRY_LIMITS) {
                    return Err(NoStream::NoAnswer);
                }
            }
        }
    }
}

/// Runs the request again with a larger model, and keeps the answer of the smaller one
/// until the larger one has begun. Returns `None` if neither has, but time is left.
async fn escalate(
    call: &mut call::Call,
    view: &direct::ServiceView,
    opened: send::Opened,
    larger: usize,
) -> Option<Result<EventSource, NoStream>> {
    let first = opened.sent.elapsed();
    let confidence = opened.metadata.confidence.unwrap_or_default();
    let note = format!("put on standby at confidence {confidence}");
    call.trace
        .attempt(&opened.endpoint.record.id, "not_trusted", &note);
    opened.record_success(call, first);
    let outcome = rollout::AttemptOutcome::Answered(Some(first));
    call.observe(view, &opened.endpoint, outcome);
    let hold = call.hold(confidence);
    let mut standby = standby::Standby::new(opened, call.model, call.deadline);
    call.model = larger;
    let tried = std::mem::replace(&mut call.tried, call.refused_by.clone());
    let attempts = Box::pin(open(call, None));
    let mut answer = standby.hold_during(&hold, attempts).await;
    if let Some(Ok(source)) = &answer {
        let endpoint = &source.opened.endpoint;
        let may_end = |events| hold.may_end_in_time(events, endpoint);
        if standby.length().is_none_or(may_end) {
            return answer;
        }
        call.trace
            .attempt(&endpoint.record.id, "dropped", &"would not end in time");
        let route = call.rule.name.as_str();
        observe::metrics().record_escalation(route, "would_not_end_in_time");
        // Dropped before the answer on standby is delivered, which ends the work there.
        answer = Some(Err(NoStream::NoAnswer));
    } else if answer.is_none() {
        // The abandoned attempt may have been executed.
        call.attempts += 1;
        call.trace.abandon("not begun in time");
    }
    let model = standby.model();
    let endpoint = standby.endpoint().record.id.clone();
    let Some(source) = standby.into_source() else {
        return answer.or_else(|| end_unless_retried(call));
    };
    call.model = model;
    call.tried = tried;
    call.trace.attempt(&endpoint, "kept", &"taken from standby");
    match first_event_of(call, source, call.deadline).await {
        Ok(source) => Some(Ok(source)),
        Err((endpoint, failure)) => {
            record_break(call, view, &endpoint, failure);
            end_unless_retried(call)
        }
    }
}

/// Returns the end of a request that must not be retried; `None` if it may.
fn end_unless_retried(call: &call::Call) -> Option<Result<EventSource, NoStream>> {
    (!call.take_retry(&RETRY_LIMITS)).then_some(Err(NoStream::NoAnswer))
}

/// Returns the index of the larger model that must answer instead; `None` if the answer
/// is kept.
fn escalation(
    call: &mut call::Call,
    view: &direct::ServiceView,
    opened: &send::Opened,
) -> Option<usize> {
    call.chosen_model()?;
    let models = cascade::Cascade::new(&call.rule.models);
    let choice = call.forecast_with(view, models.largest())?;
    let elapsed = call.arrived.elapsed();
    let forecast = cascade::Forecast {
        begin: elapsed + choice.begin,
        end: elapsed + choice.end,
        objective: call.rule.objective.duration(),
        time_limit: elapsed + call.time_left(),
        pressure: call.cx.pressure(&call.service),
        priority: call.priority,
    };
    let decision = models.evaluate(call.model, opened.metadata.confidence, &forecast);
    if let Some(confidence) = opened.metadata.confidence {
        call.trace.note("confidence", &confidence);
        call.trace.note("larger_in_ms", &forecast.begin.as_millis());
        call.trace.note("larger_ends_ms", &forecast.end.as_millis());
        call.trace
            .note("pressure", &format_args!("{:.2}", forecast.pressure.get()));
    }
    let larger = match decision {
        cascade::Decision::Escalate(larger) => {
            call.take_optional_retry(&RETRY_LIMITS).then_some(larger)
        }
        cascade::Decision::Keep => None,
    };
    if call.model < models.largest() {
        let limit = forecast.limit(opened.metadata.confidence);
        let decision = match (larger, limit) {
            (Some(_), _) => "escalated",
            (None, None) => "confident",
            (None, Some(limit)) => limit.into(),
        };
        observe::metrics().record_escalation(call.rule.name.as_str(), decision);
    }
    larger
}

async fn read_failure(
    call: &mut call::Call,
    view: &direct::ServiceView,
    opened: send::Opened,
) -> Option<http::Reply> {
    let status = opened.answer.status;
    call.trace.attempt(
        &opened.endpoint.record.id,
        send::answer_label(status),
        &status,
    );
    let now = runtime::Moment::now();
    opened
        .endpoint
        .live
        .record_failure(balance::Failure::Answered, Duration::ZERO, now);
    pace::report(&opened.endpoint);
    let outcome = if status.is_server_error() {
        rollout::AttemptOutcome::Failed
    } else {
        rollout::AttemptOutcome::Answered(None)
    };
    call.observe(view, &opened.endpoint, outcome);
    let headers = platform::headers::encode_answer(&opened.answer.headers);
    let endpoint = opened.endpoint.record.id.clone();
    let body = opened.answer.bytes(MAX_FAILURE_BODY);
    let body = runtime::timeout_at(Instant::now() + FAILURE_BODY_TIMEOUT, body).await;
    call.end_execution(&endpoint);
    Some(http::relayed(status, headers, body?.ok()?))
}

fn deliver_failure(
    call: &mut call::Call,
    status: StatusCode,
    reply: Option<http::Reply>,
) -> http::Reply {
    match reply {
        Some(reply) if !send::promises_not_run(status) => {
            call.trace.finish(trace::Outcome::Failed, status.as_u16());
            reply
        }
        _ => plain::end_outcome_unknown(call),
    }
}

/// Records that a stream broke off, in the trace and against the endpoint.
pub fn record_break(
    call: &mut call::Call,
    view: &direct::ServiceView,
    endpoint: &direct::EndpointView,
    failure: balance::Failure,
) {
    let note = format!("stream broke off ({failure})");
    call.trace
        .attempt(&endpoint.record.id, failure.into(), &note);
    call.record_failed_attempt(view, endpoint, failure);
}

/// Waits until a stream whose head has arrived has a complete event or has ended without
/// one. Fails if it broke off or timed out.
async fn first_event(
    call: &call::Call,
    opened: send::Opened,
    deadline: Instant,
) -> Result<EventSource, (Arc<direct::EndpointView>, balance::Failure)> {
    first_event_of(call, EventSource::new(opened), deadline).await
}

/// Like [`first_event`], for a stream of which a part may have been read.
async fn first_event_of(
    call: &call::Call,
    mut source: EventSource,
    deadline: Instant,
) -> Result<EventSource, (Arc<direct::EndpointView>, balance::Failure)> {
    let deadline = deadline.min(call.deadline);
    loop {
        if source.splitter.has_event() {
            source.opened.permit.record_first_byte();
            return Ok(source);
        }
        let failure = match read(&mut source.opened, deadline).await {
            Chunk::Data(bytes) => match source.push(&bytes) {
                Ok(()) => continue,
                Err(_) => balance::Failure::Broken,
            },
            Chunk::End if source.splitter.pending() == 0 => {
                source.opened.permit.record_first_byte();
                return Ok(source);
            }
            Chunk::End | Chunk::Broken => balance::Failure::Broken,
            // No other endpoint may run the request, and this one may only have paused.
            Chunk::TimedOut if !call.may_retry() && Instant::now() < deadline => continue,
            Chunk::TimedOut => balance::Failure::Silent,
        };
        return Err((source.opened.endpoint, failure));
    }
}

/// Result of reading from a stream.
pub enum Chunk {
    /// Bytes of the body, not aligned to events.
    Data(Bytes),
    /// The regular end of the body.
    End,
    /// The connection failed before the end of the body.
    Broken,
    /// Nothing arrived until the deadline, or the endpoint is silent for all requests.
    TimedOut,
}

/// Reads the next bytes, waiting for them until `deadline`.
pub async fn read(opened: &mut send::Opened, deadline: Instant) -> Chunk {
    loop {
        let until = deadline.min(Instant::now() + send::SILENCE_CHECK_INTERVAL);
        match runtime::timeout_at(until, opened.answer.chunk()).await {
            Some(Ok(Some(bytes))) => {
                opened.endpoint.live.record_activity(runtime::Moment::now());
                return Chunk::Data(bytes);
            }
            Some(Ok(None)) => return Chunk::End,
            Some(Err(err)) => {
                log::debug!(target: "gateway", endpoint:% = opened.endpoint.record.id, error:% = err;
                    "stream broke off");
                return Chunk::Broken;
            }
            None => {
                if Instant::now() >= deadline
                    || send::is_unresponsive(&opened.endpoint, &opened.client).await
                {
                    return Chunk::TimedOut;
                }
            }
        }
    }
}
