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
use crate::gateway::{call, plain, relay, send, trace};
use crate::http;
use crate::platform;
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

/// A stream of events that has begun to arrive.
#[derive(Debug)]
pub struct EventSource {
    /// Response whose body carries the events.
    pub opened: send::Opened,
    /// Buffer of bytes that have arrived and were not passed on yet.
    pub splitter: http::EventSplitter,
}

/// Runs the request. The reply passes events on as they arrive.
pub async fn run(mut call: call::Call) -> http::Reply {
    let resume_after = call.metadata.last_event;
    let source = match open(&mut call, resume_after).await {
        Ok(source) => source,
        Err(reply) => return *reply,
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

/// Sends the request until a stream has begun. The error is the reply for the caller.
pub async fn open(
    call: &mut call::Call,
    resume_after: Option<u64>,
) -> Result<EventSource, Box<http::Reply>> {
    loop {
        let Some(view) = call.view() else {
            let code = errors::ResultCode::NoEndpoint;
            let reply = plain::refuse(call, code, "the service is unknown");
            return Err(Box::new(reply));
        };
        let Some(choice) = call.choose(&view) else {
            return Err(Box::new(plain::end_without_answer(call)));
        };
        let timeout = call.attempt_timeout(&choice.endpoint, &RETRY_LIMITS);
        let started = Instant::now();
        let opened = match send::send(call, &view, choice, resume_after, timeout).await {
            Ok(opened) => opened,
            Err(send::AttemptError::NotRun(cause, _)) => {
                if !call.take_retry_elsewhere(cause, &RETRY_LIMITS) {
                    return Err(Box::new(plain::end_without_answer(call)));
                }
                continue;
            }
            Err(send::AttemptError::Unknown(..)) => {
                if !call.take_retry(&RETRY_LIMITS) {
                    return Err(Box::new(plain::end_without_answer(call)));
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
            return Err(Box::new(deliver_failure(call, status, reply)));
        }
        if resume_after.is_none()
            && let Some(larger) = escalation(call, &opened)
        {
            let confidence = opened.metadata.confidence.unwrap_or_default();
            let note = format!("dropped at confidence {confidence}");
            call.trace
                .attempt(&opened.endpoint.record.id, "not_trusted", &note);
            opened.endpoint.live.record_success(opened.sent.elapsed());
            call.observe(&view, &opened.endpoint, true, Some(opened.sent.elapsed()));
            call.model = larger;
            call.tried.clear();
            continue;
        }
        match first_event(call, opened, started + timeout).await {
            Ok(source) => {
                let first = source.opened.sent.elapsed();
                let objective = call.rule.objective.duration();
                call.cx.record_first_event(&call.service, first, objective);
                source.opened.endpoint.live.record_success(first);
                call.observe(&view, &source.opened.endpoint, true, Some(first));
                return Ok(source);
            }
            Err((endpoint, failure)) => {
                record_break(call, &view, &endpoint, failure);
                if !call.take_retry(&RETRY_LIMITS) {
                    return Err(Box::new(plain::end_without_answer(call)));
                }
            }
        }
    }
}

/// Returns the index of the larger model that must answer instead; `None` if the answer
/// is kept.
fn escalation(call: &call::Call, opened: &send::Opened) -> Option<usize> {
    call.chosen_model()?;
    let models = cascade::Cascade::new(&call.rule.models);
    let pressure = call.cx.pressure(&call.service);
    match models.evaluate(call.model, opened.metadata.confidence, pressure) {
        cascade::Decision::Escalate(larger) => {
            call.take_optional_retry(&RETRY_LIMITS).then_some(larger)
        }
        cascade::Decision::Keep => None,
    }
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
    call.observe(view, &opened.endpoint, !status.is_server_error(), None);
    let headers = platform::headers::encode_answer(&opened.answer.headers);
    let body = opened.answer.bytes(MAX_FAILURE_BODY);
    let body = runtime::timeout_at(Instant::now() + FAILURE_BODY_TIMEOUT, body).await;
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

/// Waits until the stream has a complete event or has ended without one. Fails if it
/// broke off or timed out.
async fn first_event(
    call: &call::Call,
    mut opened: send::Opened,
    deadline: Instant,
) -> Result<EventSource, (Arc<direct::EndpointView>, balance::Failure)> {
    let deadline = deadline.min(call.deadline);
    let mut splitter = http::EventSplitter::default();
    loop {
        let chunk = read(&mut opened, deadline).await;
        match chunk {
            Chunk::Data(bytes) => {
                splitter.push(&bytes);
                if splitter.has_event() {
                    opened.permit.record_first_byte();
                    return Ok(EventSource { opened, splitter });
                }
            }
            Chunk::End if splitter.pending() == 0 => {
                opened.permit.record_first_byte();
                return Ok(EventSource { opened, splitter });
            }
            Chunk::End | Chunk::Broken => return Err((opened.endpoint, balance::Failure::Broken)),
            Chunk::TimedOut => return Err((opened.endpoint, balance::Failure::Silent)),
        }
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
