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
/// The patience is for an endpoint that is not silent for other requests: a busy
/// one would have to read the prompt again for a request that is sent once more.
pub const LIMITS: call::RepeatLimits = call::RepeatLimits {
    patience_objectives: 1.6,
    patience_usual: 5.0,
    max_refusals: 5,
    min_time_left: Duration::from_millis(50),
};

/// A stream that has begun.
#[derive(Debug)]
pub struct Source {
    /// The answer.
    pub opened: send::Opened,
    /// What has arrived of it and was not passed on.
    pub splitter: http::EventSplitter,
}

/// Runs the request; the reply carries its events as they come.
pub async fn run(mut call: call::Call) -> http::Reply {
    let resume_after = call.facts.last_event;
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

/// Finds an endpoint whose stream has begun; the reply says why there is none.
pub async fn open(
    call: &mut call::Call,
    resume_after: Option<u64>,
) -> Result<Source, Box<http::Reply>> {
    loop {
        let Some(view) = call.view() else {
            let code = errors::ResultCode::NoEndpoint;
            let reply = plain::refuse(call, code, "the service is unknown");
            return Err(Box::new(reply));
        };
        let Some(choice) = call.choose(&view) else {
            return Err(Box::new(plain::end_unsent(call)));
        };
        let patience = call.patience(&choice.endpoint, &LIMITS);
        let started = Instant::now();
        let opened = match send::send(call, &view, choice, resume_after, patience).await {
            Ok(opened) => opened,
            Err(send::Unanswered::NotRun(cause, _)) => {
                if !call.try_elsewhere(cause, &LIMITS) {
                    return Err(Box::new(plain::end_unsent(call)));
                }
                continue;
            }
            Err(send::Unanswered::Unknown(..)) => {
                if !call.try_run_again(&LIMITS) {
                    return Err(Box::new(plain::end_unsent(call)));
                }
                continue;
            }
        };
        let status = opened.answer.status;
        if !status.is_success() {
            let reply = failed(call, &view, opened).await;
            if status.is_server_error() && call.try_run_again(&LIMITS) {
                continue;
            }
            return Err(Box::new(deliver_failure(call, status, reply)));
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
                if !call.try_run_again(&LIMITS) {
                    return Err(Box::new(plain::end_unsent(call)));
                }
            }
        }
    }
}

/// The larger model that must run instead of the one that has answered.
fn escalation(call: &call::Call, opened: &send::Opened) -> Option<usize> {
    call.chosen_model()?;
    let ladder = cascade::Ladder::new(&call.rule.models);
    let pressure = call.cx.pressure(&call.service);
    match ladder.judge(call.model, opened.facts.confidence, pressure) {
        cascade::Step::Escalate(larger) => call.try_better(&LIMITS).then_some(larger),
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
    call.run_failed(view, endpoint, failure);
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
        let until = deadline.min(Instant::now() + send::SILENCE_CHECK);
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
                if Instant::now() >= deadline
                    || send::is_dark(&opened.endpoint, &opened.client).await
                {
                    return Chunk::Late;
                }
            }
        }
    }
}
