//! Requests whose answer is delivered whole.

use std::time::{Duration, Instant};

use hyper::StatusCode;

use crate::balance;
use crate::direct;
use crate::errors;
use crate::gateway::{call, refuse, send, trace};
use crate::http;
use crate::platform;
use crate::runtime;
use crate::units;

/// Largest answer that is read whole before it is delivered.
const MAX_WHOLE: units::Bytes = units::Bytes(8 * 1_024 * 1_024);
/// At twice the objective most of the credit is lost anyway.
const LIMITS: call::RepeatLimits = call::RepeatLimits {
    patience_objectives: 2.0,
    patience_usual: 4.0,
    max_refusals: 4,
    min_time_left: Duration::from_millis(20),
};
/// Time after which a caller may come back when all endpoints are busy.
const BUSY_RETRY: units::Millis = units::Millis(150);

/// An endpoint's whole answer.
struct Whole {
    status: StatusCode,
    reply: http::Reply,
}

/// Runs the request and returns its answer.
pub async fn run(mut call: call::Call) -> http::Reply {
    // The last whole answer: a success, or a failure that is delivered if no other comes.
    let mut whole: Option<Whole> = None;
    loop {
        let Some(view) = call.view() else {
            return refuse(
                &mut call,
                errors::ResultCode::NoEndpoint,
                "the service is unknown",
            );
        };
        let Some(choice) = call.choose(&view) else {
            break;
        };
        let patience = call.patience(&choice.endpoint, &LIMITS);
        let goes_on = match attempt(&mut call, &view, choice, patience).await {
            Ok(answer) => {
                let is_failure = answer.status.is_server_error();
                whole = Some(answer);
                is_failure && call.try_run_again(&LIMITS)
            }
            Err(send::Unanswered::NotRun(cause, _)) => call.try_elsewhere(cause, &LIMITS),
            Err(send::Unanswered::Unknown(..)) => call.try_run_again(&LIMITS),
        };
        if !goes_on {
            break;
        }
    }
    match whole {
        Some(whole) => deliver(&mut call, whole),
        None => end_unsent(&mut call),
    }
}

async fn attempt(
    call: &mut call::Call,
    view: &direct::ServiceView,
    choice: balance::Choice,
    patience: Duration,
) -> Result<Whole, send::Unanswered> {
    let deadline = Instant::now() + patience;
    let opened = send::send(call, view, choice, None, patience).await?;
    let first = opened.sent.elapsed();
    let send::Opened {
        answer,
        endpoint,
        permit,
        ..
    } = opened;
    let status = answer.status;
    let headers = platform::headers::encode_answer(&answer.headers);
    let body = runtime::timeout_at(deadline, answer.bytes(MAX_WHOLE)).await;
    drop(permit);
    match body {
        Some(Ok(body)) => {
            let kind = send::label(status);
            call.trace.attempt(&endpoint.record.id, kind, &status);
            record(call, view, &endpoint, status, first);
            Ok(Whole {
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
            let unanswered = send::Unanswered::Unknown(failure, "the answer broke off".into());
            call.trace
                .attempt(&endpoint.record.id, unanswered.label(), &unanswered);
            call.run_failed(view, &endpoint, failure);
            Err(unanswered)
        }
    }
}

fn record(
    call: &call::Call,
    view: &direct::ServiceView,
    endpoint: &direct::EndpointView,
    status: StatusCode,
    first: Duration,
) {
    let answered = !status.is_server_error();
    if answered {
        endpoint.live.succeeded(first);
        call.clear_suspicion();
    } else {
        let now = runtime::Moment::now();
        endpoint
            .live
            .failed(balance::Failure::Answered, Duration::ZERO, now);
    }
    call.observe(view, endpoint, answered, answered.then_some(first));
}

fn deliver(call: &mut call::Call, whole: Whole) -> http::Reply {
    if send::promises_not_run(whole.status) {
        // The endpoint has not marked its answer as not run, so this status
        // would promise the caller too much.
        return end_unknown(call);
    }
    let outcome = if whole.status.is_success() {
        trace::Outcome::Answered
    } else {
        trace::Outcome::Failed
    };
    call.trace.part();
    call.trace.finish(outcome, whole.status.as_u16());
    whole.reply
}

/// Ends a request that no endpoint takes now; one that may have run is not refused.
pub fn end_unsent(call: &mut call::Call) -> http::Reply {
    if call.runs > 0 {
        return end_unknown(call);
    }
    refuse(
        call,
        errors::ResultCode::Overloaded,
        "no endpoint takes the request now",
    )
}

/// Ends a request that may have run.
pub fn end_unknown(call: &mut call::Call) -> http::Reply {
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

/// Refuses a request that was not run.
pub fn refuse(
    call: &mut call::Call,
    code: errors::ResultCode,
    reason: &'static str,
) -> http::Reply {
    let refusal = errors::Refusal::new(code, reason).retry_after(BUSY_RETRY);
    refuse::refuse(&mut call.trace, &refusal)
}
