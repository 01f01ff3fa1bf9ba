//! Requests whose answer is delivered whole.

use std::sync::Arc;
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
/// Part of the objective after which a repeatable request is sent to another
/// endpoint; at twice the objective most of the credit is lost anyway.
const PATIENCE_OBJECTIVES: f64 = 2.0;
/// The endpoint's usual time to an answer, this many times, is waited for at least.
const PATIENCE_USUAL: f64 = 4.0;
/// Time after which a caller may come back when all endpoints are busy.
const BUSY_RETRY: units::Millis = units::Millis(150);
/// Attempts that are refused as not run before the request is refused.
const MAX_REFUSALS: usize = 4;
/// Least time for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// An endpoint's whole answer.
struct Whole {
    status: StatusCode,
    reply: http::Reply,
}

/// Runs the request and returns its answer.
pub async fn run(mut call: call::Call) -> http::Reply {
    let mut failure: Option<Whole> = None;
    loop {
        let Some(view) = call.view() else {
            return refuse(
                &mut call,
                errors::ResultCode::NoEndpoint,
                "the service is unknown",
            );
        };
        let Some(chosen) = call.choose(&view) else {
            return match failure {
                Some(whole) => deliver(&mut call, whole),
                None => end_unsent(&mut call),
            };
        };
        let patience = patience(&call, &chosen);
        let endpoint = Arc::clone(&chosen.endpoint);
        match attempt(&mut call, &view, endpoint, patience).await {
            Ok(whole) => {
                let is_failure = whole.status.is_server_error();
                if is_failure && may_repeat(&call) {
                    failure = Some(whole);
                    continue;
                }
                return deliver(&mut call, whole);
            }
            Err(send::Unanswered::NotRun(..)) => {
                if call.tried.len() > MAX_REFUSALS
                    || call.time_left() < MIN_TIME_LEFT
                    || !call.try_repeat()
                {
                    return match failure {
                        Some(whole) => deliver(&mut call, whole),
                        None => end_unsent(&mut call),
                    };
                }
            }
            Err(send::Unanswered::Unknown(..)) => {
                if !may_repeat(&call) {
                    return match failure {
                        Some(whole) => deliver(&mut call, whole),
                        None => end_unknown(&mut call),
                    };
                }
            }
        }
    }
}

fn may_repeat(call: &call::Call) -> bool {
    call.may_run_again() && call.time_left() >= MIN_TIME_LEFT && call.try_repeat()
}

/// How long to wait for the answer of an endpoint.
fn patience(call: &call::Call, chosen: &balance::Chosen) -> Duration {
    let left = call.time_left();
    if call.is_last_run() {
        return left;
    }
    let usual = chosen.endpoint.live.mean_first().unwrap_or_default();
    let objective = call.rule.objective.duration().mul_f64(PATIENCE_OBJECTIVES);
    objective.max(usual.mul_f64(PATIENCE_USUAL)).min(left)
}

async fn attempt(
    call: &mut call::Call,
    view: &direct::ServiceView,
    endpoint: Arc<direct::EndpointView>,
    patience: Duration,
) -> Result<Whole, send::Unanswered> {
    let deadline = Instant::now() + patience;
    let opened = send::send(call, view, endpoint, None, patience).await?;
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
            endpoint
                .live
                .failed(failure, Duration::ZERO, runtime::Moment::now());
            call.observe(view, &endpoint, false, None);
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
    call.trace.first();
    call.trace.finish(outcome, whole.status.as_u16());
    whole.reply
}

/// Ends a request that no endpoint has taken.
fn end_unsent(call: &mut call::Call) -> http::Reply {
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
    call.trace.note("code", &code);
    call.trace.note("reason", &reason);
    call.trace
        .finish(trace::Outcome::Refused, code.http_status());
    refuse::reply(&refusal)
}
