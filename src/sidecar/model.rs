//! Runs an attempt on a model engine and relays its answer.

use std::time::{Duration, Instant};

use quinn::SendStream;

use crate::admission;
use crate::attempt;
use crate::errors;
use crate::http;
use crate::runtime;
use crate::sidecar;
use crate::sidecar::crash;
use crate::sidecar::cx;
use crate::sidecar::dispatch;
use crate::sidecar::slot;
use crate::sidecar::usage;
use crate::wire;

/// Time limit for the engine to end its response after the last event.
const RESPONSE_END_TIMEOUT: Duration = Duration::from_secs(1);

/// Forwards the attempt to the engine and writes its replies to the entry.
pub async fn run(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    deadline: Instant,
    mut slot: slot::Slot,
    tx: &mut SendStream,
) -> Result<(), wire::WireError> {
    let mut usage_copy = usage::UsageCopy::begin(cx, dispatch);
    let in_flight = crash::InFlightRequest::begin(cx, dispatch);
    let time_left = deadline.saturating_duration_since(Instant::now());
    slot.expect_first_token();
    let started = cx
        .engine
        .start(&dispatch.work, dispatch.priority, time_left)
        .await;
    let mut stream = match started {
        Ok(stream) => stream,
        Err(err) => {
            let refusal = start_refusal(&err, &mut slot);
            if refusal.code == errors::ResultCode::Unreachable {
                cx.set_status(None);
            }
            in_flight
                .failed(matches!(&err, sidecar::StartError::Http(err) if is_connection_lost(err)));
            if refusal.code.is_not_run() {
                usage_copy.discard();
                return dispatch::refuse(cx, dispatch, tx, refusal).await;
            }
            usage_copy.set_result(Some(&refusal));
            wire::write(tx, &wire::Reply::Accepted).await?;
            return dispatch::fail(dispatch, tx, refusal, attempt::Usage::default()).await;
        }
    };
    if let Some(boot) = stream.boot() {
        cx.with_admission(|adm| adm.gate_mut().observe_boot_id(boot, Instant::now()));
    }
    wire::write(tx, &wire::Reply::Accepted).await?;
    let mut seq = resume_from(dispatch);
    loop {
        let next = runtime::timeout_at(deadline, stream.next()).await;
        usage_copy.set_usage(stream.usage());
        let refusal = match next {
            Some(Ok(sidecar::EngineEvent::Text(text))) => {
                slot.record_token();
                wire::write(tx, &wire::Reply::Chunk { seq, text }).await?;
                seq += 1;
                continue;
            }
            Some(Ok(sidecar::EngineEvent::End { finish, usage })) => {
                usage_copy.set_result(None);
                release_after_response(cx, stream, slot);
                let load = cx.report();
                let done = wire::Reply::Done {
                    finish,
                    usage,
                    load,
                };
                return wire::write(tx, &done).await;
            }
            Some(Err(err)) => {
                slot.set_outcome(admission::Outcome::Error);
                in_flight.failed(is_connection_lost(&err));
                interrupted(&err)
            }
            None => {
                errors::Refusal::new(errors::ResultCode::DeadlineExceeded, "the deadline passed")
            }
        };
        usage_copy.set_result(Some(&refusal));
        return dispatch::fail(dispatch, tx, refusal, stream.usage()).await;
    }
}

/// Releases the slot once the engine has ended its response. By then the engine
/// has freed the request's share of its batch, and the connection can be reused.
fn release_after_response(
    cx: &cx::Shared,
    mut stream: sidecar::EngineStream,
    mut slot: slot::Slot,
) {
    slot.set_outcome(admission::Outcome::Success);
    let task = async move {
        let until = Instant::now() + RESPONSE_END_TIMEOUT;
        let _ = runtime::timeout_at(until, stream.finish()).await;
        drop(slot);
    };
    cx.traffic.spawn(task).detach();
}

const fn resume_from(dispatch: &attempt::Dispatch) -> u32 {
    match &dispatch.work {
        attempt::Work::Model { resume_from, .. } => *resume_from,
        attempt::Work::Service { .. } => 0,
    }
}

/// Returns whether the connection was lost after the request had been sent.
const fn is_connection_lost(err: &http::HttpError) -> bool {
    matches!(err, http::HttpError::Broken(_))
}

fn interrupted(err: &http::HttpError) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::Interrupted, format!("engine: {err}"))
}

/// Returns the refusal for an attempt that the engine has not begun to answer,
/// and sets the outcome on the slot. The code tells whether the engine may have
/// run the attempt.
fn start_refusal(err: &sidecar::StartError, slot: &mut slot::Slot) -> errors::Refusal {
    slot.set_outcome(admission::Outcome::Neutral);
    let code = match err {
        sidecar::StartError::Body(_) | sidecar::StartError::Status(400 | 413 | 422) => {
            errors::ResultCode::MalformedRequest
        }
        sidecar::StartError::Status(404) => errors::ResultCode::VersionNotLoaded,
        sidecar::StartError::Http(err) if err.is_not_sent() => {
            slot.set_outcome(admission::Outcome::Error);
            errors::ResultCode::Unreachable
        }
        sidecar::StartError::Http(http::HttpError::TimedOut) => {
            slot.set_keep_after_drop();
            errors::ResultCode::DeadlineExceeded
        }
        sidecar::StartError::Http(_) | sidecar::StartError::Status(_) => {
            slot.set_outcome(admission::Outcome::Error);
            errors::ResultCode::Interrupted
        }
    };
    errors::Refusal::new(code, format!("engine: {err}"))
}
