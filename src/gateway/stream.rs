//! Requests whose answer is a stream of events.

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

/// Largest body of a failure that is passed on.
const MAX_FAILURE: units::Bytes = units::Bytes(64 * 1_024);
/// Time to read it.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(500);
/// Objectives that are waited for the first event of an endpoint that is not
/// silent for other requests. A busy endpoint would have to read the prompt
/// again for a request that is sent once more.
const PATIENCE_OBJECTIVES: f64 = 1.6;
/// The endpoint's usual time to the first byte, this many times, is waited for at least.
const PATIENCE_USUAL: f64 = 5.0;
/// Attempts that are refused as not run before the request is refused.
const MAX_REFUSALS: usize = 5;
/// Least time for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(50);

/// A stream that has begun.
#[derive(Debug)]
pub struct Source {
    /// The answer.
    pub opened: send::Opened,
    /// What has arrived of it and was not passed on.
    pub splitter: http::EventSplitter,
}

/// Why no stream could be opened.
pub enum Closed {
    /// The reply says it to the caller.
    Reply(Box<http::Reply>),
}

/// Runs the request; the reply carries its events as they come.
pub async fn run(mut call: call::Call) -> http::Reply {
    let resume_after = call.facts.last_event;
    let source = match open(&mut call, resume_after).await {
        Ok(source) => source,
        Err(Closed::Reply(reply)) => return *reply,
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

/// Finds an endpoint whose stream has begun.
pub async fn open(call: &mut call::Call, resume_after: Option<u64>) -> Result<Source, Closed> {
    let closed = |reply| Closed::Reply(Box::new(reply));
    loop {
        let Some(view) = call.view() else {
            let code = errors::ResultCode::NoEndpoint;
            return Err(closed(plain::refuse(call, code, "the service is unknown")));
        };
        let Some(chosen) = call.choose(&view) else {
            return Err(closed(end(call)));
        };
        let patience = patience(call, &chosen);
        let started = Instant::now();
        let endpoint = Arc::clone(&chosen.endpoint);
        let opened = match send::send(call, &view, endpoint, resume_after, patience).await {
            Ok(opened) => opened,
            Err(send::Unanswered::NotRun(..)) => {
                if call.tried.len() > MAX_REFUSALS
                    || call.time_left() < MIN_TIME_LEFT
                    || !call.try_repeat()
                {
                    return Err(closed(end(call)));
                }
                continue;
            }
            Err(send::Unanswered::Unknown(..)) => {
                if !may_repeat(call) {
                    return Err(closed(end(call)));
                }
                continue;
            }
        };
        let status = opened.answer.status;
        if !status.is_success() {
            let reply = failed(call, &view, opened).await;
            if status.is_server_error() && may_repeat(call) {
                continue;
            }
            return Err(closed(deliver_failure(call, status, reply)));
        }
        if resume_after.is_none()
            && let Some(larger) = escalation(call, &opened)
        {
            let confidence = opened.facts.confidence.unwrap_or_default();
            let note = format!("dropped at confidence {confidence}");
            call.trace
                .attempt(&opened.endpoint.record.id, "not_trusted", &note);
            opened.endpoint.live.succeeded(opened.sent.elapsed());
            call.observe(&view, &opened.endpoint, true, Some(opened.sent.elapsed()));
            call.model = larger;
            call.tried.clear();
            continue;
        }
        match first_event(call, opened, started + patience).await {
            Ok(source) => {
                let first = source.opened.sent.elapsed();
                let objective = call.rule.objective.duration();
                call.cx.count_first(&call.service, first, objective);
                source.opened.endpoint.live.succeeded(first);
                call.observe(&view, &source.opened.endpoint, true, Some(first));
                return Ok(source);
            }
            Err((endpoint, failure)) => {
                note_break(call, &view, &endpoint, failure);
                if !may_repeat(call) {
                    return Err(closed(end(call)));
                }
            }
        }
    }
}

/// Takes a repeat for a request that may run again; false where that is not allowed.
pub fn may_repeat(call: &call::Call) -> bool {
    call.may_run_again() && call.time_left() >= MIN_TIME_LEFT && call.try_repeat()
}

/// Ends a request for which no stream could be opened.
fn end(call: &mut call::Call) -> http::Reply {
    if call.runs > 0 {
        return plain::end_unknown(call);
    }
    plain::refuse(
        call,
        errors::ResultCode::Overloaded,
        "no endpoint takes the request now",
    )
}

fn patience(call: &call::Call, chosen: &balance::Chosen) -> Duration {
    let left = call.time_left();
    if call.is_last_run() {
        return left;
    }
    let usual = chosen.endpoint.live.mean_first().unwrap_or_default();
    let objective = call.rule.objective.duration().mul_f64(PATIENCE_OBJECTIVES);
    objective.max(usual.mul_f64(PATIENCE_USUAL)).min(left)
}

/// The larger model that must run instead of the one that has answered.
fn escalation(call: &call::Call, opened: &send::Opened) -> Option<usize> {
    call.chosen_model()?;
    let ladder = cascade::Ladder::new(&call.rule.models);
    let pressure = call.cx.pressure(&call.service);
    match ladder.judge(call.model, opened.facts.confidence, pressure) {
        cascade::Step::Escalate(larger) => {
            let has_time = call.may_run_again() && call.time_left() >= MIN_TIME_LEFT;
            (has_time && call.try_optional()).then_some(larger)
        }
        cascade::Step::Keep => None,
    }
}

async fn failed(
    call: &mut call::Call,
    view: &direct::ServiceView,
    opened: send::Opened,
) -> Option<http::Reply> {
    let status = opened.answer.status;
    call.trace
        .attempt(&opened.endpoint.record.id, send::label(status), &status);
    let now = runtime::Moment::now();
    opened
        .endpoint
        .live
        .failed(balance::Failure::Answered, Duration::ZERO, now);
    call.observe(view, &opened.endpoint, !status.is_server_error(), None);
    let headers = platform::headers::encode_answer(&opened.answer.headers);
    let body = opened.answer.bytes(MAX_FAILURE);
    let body = runtime::timeout_at(Instant::now() + FAILURE_TIMEOUT, body).await;
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
        _ => plain::end_unknown(call),
    }
}

/// Records that a stream has broken off.
pub fn note_break(
    call: &mut call::Call,
    view: &direct::ServiceView,
    endpoint: &direct::EndpointView,
    failure: balance::Failure,
) {
    let note = format!("stream broke off ({failure})");
    call.trace
        .attempt(&endpoint.record.id, failure.into(), &note);
    let cold = view
        .upstream
        .cold_start
        .map_or(Duration::ZERO, |cold| cold.duration.duration());
    endpoint.live.failed(failure, cold, runtime::Moment::now());
    call.observe(view, endpoint, false, None);
}

/// Waits until the stream has a whole event, or has ended without one.
async fn first_event(
    call: &call::Call,
    mut opened: send::Opened,
    deadline: Instant,
) -> Result<Source, (Arc<direct::EndpointView>, balance::Failure)> {
    let deadline = deadline.min(call.ends);
    let mut splitter = http::EventSplitter::default();
    loop {
        let chunk = read(&mut opened, deadline).await;
        match chunk {
            Chunk::Data(bytes) => {
                splitter.push(&bytes);
                if splitter.has_event() {
                    opened.permit.answered();
                    return Ok(Source { opened, splitter });
                }
            }
            Chunk::End if splitter.pending() == 0 => {
                opened.permit.answered();
                return Ok(Source { opened, splitter });
            }
            Chunk::End | Chunk::Broken => return Err((opened.endpoint, balance::Failure::Broken)),
            Chunk::Late => return Err((opened.endpoint, balance::Failure::Silent)),
        }
    }
}

/// What a read of a stream has brought.
pub enum Chunk {
    /// Bytes.
    Data(Bytes),
    /// The end of the answer.
    End,
    /// The connection broke.
    Broken,
    /// Nothing came until the deadline, or the endpoint is silent for all requests.
    Late,
}

/// Reads on until `deadline`.
pub async fn read(opened: &mut send::Opened, deadline: Instant) -> Chunk {
    loop {
        let until = deadline.min(Instant::now() + send::DARK_CHECK);
        match runtime::timeout_at(until, opened.answer.chunk()).await {
            Some(Ok(Some(bytes))) => {
                opened.endpoint.live.heard(runtime::Moment::now());
                return Chunk::Data(bytes);
            }
            Some(Ok(None)) => return Chunk::End,
            Some(Err(err)) => {
                log::debug!(target: "gateway", endpoint:% = opened.endpoint.record.id, error:% = err;
                    "stream broke off");
                return Chunk::Broken;
            }
            None => {
                let is_dark = opened.endpoint.live.is_dark(runtime::Moment::now());
                if Instant::now() >= deadline || is_dark {
                    return Chunk::Late;
                }
            }
        }
    }
}
