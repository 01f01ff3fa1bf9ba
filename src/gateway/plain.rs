//! Requests whose answer is delivered only once it is complete.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;

use crate::balance;
use crate::direct;
use crate::errors;
use crate::gateway::{call, pace, refuse, send, trace, wait};
use crate::http;
use crate::platform;
use crate::rollout;
use crate::runtime;
use crate::units;

/// Maximum size of an answer; a larger one counts as broken.
const MAX_ANSWER_BODY: units::Bytes = units::Bytes(8 * 1_024 * 1_024);
/// Limits on attempts with a complete answer. At twice the latency objective most of the
/// credit for an answer is lost anyway.
const RETRY_LIMITS: call::RetryLimits = call::RetryLimits {
    objective_factor: 2.0,
    mean_first_byte_factor: 4.0,
    max_refusals: 4,
    min_time_left: Duration::from_millis(20),
};
/// Earliest `Retry-After` when all endpoints are busy.
const BUSY_RETRY_AFTER: units::Millis = units::Millis(150);

/// Complete answer of an endpoint.
struct CompleteAnswer {
    status: StatusCode,
    reply: http::Reply,
}

/// Runs the request and returns the reply for the caller.
pub async fn run(mut call: call::Call) -> http::Reply {
    // The last complete answer. A failure is delivered if no other answer follows.
    let mut last_answer: Option<CompleteAnswer> = None;
    loop {
        let Some(view) = call.view() else {
            return refuse(
                &mut call,
                errors::ResultCode::NoEndpoint,
                "the service is unknown",
            );
        };
        let Some((view, choice)) = wait::choose(&mut call, view).await else {
            break;
        };
        let timeout = call.attempt_timeout(&choice.endpoint, &RETRY_LIMITS);
        let endpoint = Arc::clone(&choice.endpoint);
        let sent = wait::Sent::new(&choice);
        let result = attempt(&mut call, &view, choice, timeout).await;
        let ended = result.as_ref().map(|answer| answer.status);
        wait::record_end(&call, &endpoint, &sent, ended);
        let should_retry = match result {
            Ok(answer) => {
                let is_failure = answer.status.is_server_error();
                last_answer = Some(answer);
                is_failure && call.take_retry(&RETRY_LIMITS)
            }
            Err(send::AttemptError::NotRun(cause, _)) => {
                call.take_retry_elsewhere(cause, &RETRY_LIMITS)
            }
            Err(send::AttemptError::Unknown(..)) => call.take_retry(&RETRY_LIMITS),
        };
        if !should_retry {
            break;
        }
    }
    match last_answer {
        Some(last_answer) => deliver(&mut call, last_answer),
        None => end_without_answer(&mut call),
    }
}

async fn attempt(
    call: &mut call::Call,
    view: &direct::ServiceView,
    choice: balance::Choice,
    timeout: Duration,
) -> Result<CompleteAnswer, send::AttemptError> {
    let deadline = Instant::now() + timeout;
    let opened = send::send(call, view, choice, None, timeout).await?;
    let first = opened.sent.elapsed();
    let send::Opened {
        answer,
        endpoint,
        permit,
        ..
    } = opened;
    let status = answer.status;
    let headers = platform::headers::encode_answer(&answer.headers);
    let body = runtime::timeout_at(deadline, answer.bytes(MAX_ANSWER_BODY)).await;
    drop(permit);
    match body {
        Some(Ok(body)) => {
            call.end_execution(&endpoint.record.id);
            let kind = send::answer_label(status);
            call.trace.attempt(&endpoint.record.id, kind, &status);
            record_answer(call, view, &endpoint, status, first);
            Ok(CompleteAnswer {
                status,
                reply: http::relayed(status, headers, body),
            })
        }
        broken => {
            let failure = if broken.is_none() {
                balance::Failure::Silent
            } else {
                balance::Failure::Broken
            };
            let error = send::AttemptError::Unknown(failure, "the answer broke off".into());
            call.trace
                .attempt(&endpoint.record.id, error.label(), &error);
            call.record_failed_attempt(view, &endpoint, failure);
            Err(error)
        }
    }
}

fn record_answer(
    call: &mut call::Call,
    view: &direct::ServiceView,
    endpoint: &direct::EndpointView,
    status: StatusCode,
    first: Duration,
) {
    let answered = !status.is_server_error();
    if answered {
        let now = runtime::Moment::now();
        endpoint.live.record_success(first, Duration::ZERO, now);
        call.clear_suspicion();
    } else {
        let now = runtime::Moment::now();
        endpoint
            .live
            .record_failure(balance::Failure::Answered, Duration::ZERO, now);
    }
    pace::report(endpoint);
    let outcome = if answered {
        rollout::AttemptOutcome::Answered(Some(first))
    } else {
        rollout::AttemptOutcome::Failed
    };
    call.observe(view, endpoint, outcome);
}

fn deliver(call: &mut call::Call, last_answer: CompleteAnswer) -> http::Reply {
    if send::promises_not_run(last_answer.status) {
        // The endpoint has not marked the request as not executed, so this status would
        // promise the caller too much.
        return end_outcome_unknown(call);
    }
    let outcome = if last_answer.status.is_success() {
        trace::Outcome::Answered
    } else {
        trace::Outcome::Failed
    };
    call.trace.record_part();
    call.trace.finish(outcome, last_answer.status.as_u16());
    last_answer.reply
}

/// Ends a request that no endpoint accepts now. If it may have been executed, the outcome
/// is reported as unknown instead.
pub fn end_without_answer(call: &mut call::Call) -> http::Reply {
    if call.attempts > 0 {
        return end_outcome_unknown(call);
    }
    let outlook = wait::outlook(call);
    let now = runtime::Moment::now();
    let code = errors::ResultCode::Overloaded;
    if let Some(beyond) = outlook.in_vain(call.time_left(), now) {
        let reason = "no endpoint is there, and none is expected in time";
        let refusal = errors::Refusal::new(code, reason).with_retry_after(beyond.into());
        return refuse::refuse(&mut call.trace, &refusal);
    }
    let reason = "no endpoint takes the request now";
    refuse_until(call, code, reason, outlook.earliest())
}

/// Ends a request that may have been executed, with an unknown outcome.
pub fn end_outcome_unknown(call: &mut call::Call) -> http::Reply {
    let code = if call.time_left().is_zero() {
        errors::ResultCode::DeadlineExceeded
    } else {
        errors::ResultCode::OutcomeUnknown
    };
    let refusal = errors::Refusal::new(code, "whether the request has run is not known");
    call.trace.note("code", &code);
    call.trace
        .finish(trace::Outcome::GaveUp, code.http_status());
    refuse::reply(&refusal)
}

/// Refuses a request that was not executed.
pub fn refuse(
    call: &mut call::Call,
    code: errors::ResultCode,
    reason: &'static str,
) -> http::Reply {
    refuse_until(call, code, reason, Duration::ZERO)
}

/// Refuses a request that was not executed, and tells its caller to return not before
/// `earliest` from now.
fn refuse_until(
    call: &mut call::Call,
    code: errors::ResultCode,
    reason: &'static str,
    earliest: Duration,
) -> http::Reply {
    let earliest = earliest.max(BUSY_RETRY_AFTER.duration());
    let after = call.cx.book_return(earliest.into(), call.time_left());
    let refusal = errors::Refusal::new(code, reason).with_retry_after(after);
    refuse::refuse(&mut call.trace, &refusal)
}
