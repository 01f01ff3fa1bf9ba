//! Runs an attempt on a model engine.

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
use crate::sidecar::place;
use crate::sidecar::run;
use crate::sidecar::usage;
use crate::wire;

/// Time in which an engine ends its response after the last event.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Passes the attempt on and writes its replies.
pub async fn run(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    deadline: Instant,
    mut place: place::Place,
    tx: &mut SendStream,
) -> Result<(), wire::WireError> {
    let mut copy = usage::Copy::begin(cx, dispatch);
    let flight = crash::InFlight::begin(cx, dispatch);
    let time_left = deadline.saturating_duration_since(Instant::now());
    place.await_token();
    let started = cx
        .engine
        .start(&dispatch.work, dispatch.priority, time_left)
        .await;
    let mut stream = match started {
        Ok(stream) => stream,
        Err(err) => {
            let refusal = start_refusal(&err, &mut place);
            if refusal.code == errors::ResultCode::Unreachable {
                cx.set_status(None);
            }
            flight.broke(matches!(&err, sidecar::StartError::Http(err) if is_lost(err)));
            if refusal.code.is_not_run() {
                copy.discard();
                return run::refuse(cx, dispatch, tx, refusal).await;
            }
            copy.ended(Some(&refusal));
            wire::write(tx, &wire::Reply::Accepted).await?;
            return run::fail(dispatch, tx, refusal, attempt::Usage::default()).await;
        }
    };
    if let Some(boot) = stream.boot() {
        cx.with_admission(|adm| adm.gate_mut().saw_boot(boot, Instant::now()));
    }
    wire::write(tx, &wire::Reply::Accepted).await?;
    let mut seq = resume_from(dispatch);
    loop {
        let next = runtime::timeout_at(deadline, stream.next()).await;
        copy.set_usage(stream.usage());
        let refusal = match next {
            Some(Ok(sidecar::EngineEvent::Text(text))) => {
                place.token();
                wire::write(tx, &wire::Reply::Chunk { seq, text }).await?;
                seq += 1;
                continue;
            }
            Some(Ok(sidecar::EngineEvent::End { finish, usage })) => {
                copy.ended(None);
                settle(cx, stream, place);
                let load = cx.report();
                let done = wire::Reply::Done {
                    finish,
                    usage,
                    load,
                };
                return wire::write(tx, &done).await;
            }
            Some(Err(err)) => {
                place.set_outcome(admission::Outcome::Error);
                flight.broke(is_lost(&err));
                interrupted(&err)
            }
            None => {
                errors::Refusal::new(errors::ResultCode::DeadlineExceeded, "the deadline passed")
            }
        };
        copy.ended(Some(&refusal));
        return run::fail(dispatch, tx, refusal, stream.usage()).await;
    }
}

/// Gives the place back when the engine has ended its response, which is
/// after it has freed the request's share of its own batch; the connection
/// can then be used again.
fn settle(cx: &cx::Shared, mut stream: sidecar::EngineStream, mut place: place::Place) {
    place.set_outcome(admission::Outcome::Success);
    let task = async move {
        let until = Instant::now() + SETTLE_TIMEOUT;
        let _ = runtime::timeout_at(until, stream.finish()).await;
        drop(place);
    };
    cx.traffic.spawn(task).detach();
}

const fn resume_from(dispatch: &attempt::Dispatch) -> u32 {
    match &dispatch.work {
        attempt::Work::Model { resume_from, .. } => *resume_from,
        attempt::Work::Service { .. } => 0,
    }
}

/// Whether the connection of a request that had been passed on is lost.
const fn is_lost(err: &http::HttpError) -> bool {
    matches!(err, http::HttpError::Broken(_))
}

fn interrupted(err: &http::HttpError) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::Interrupted, format!("engine: {err}"))
}

/// What the entry is told of an attempt that the engine has not begun to
/// answer; the code says whether the engine may have run it.
fn start_refusal(err: &sidecar::StartError, place: &mut place::Place) -> errors::Refusal {
    place.set_outcome(admission::Outcome::Neutral);
    let code = match err {
        sidecar::StartError::Body(_) | sidecar::StartError::Status(400 | 413 | 422) => {
            errors::ResultCode::MalformedRequest
        }
        sidecar::StartError::Status(404) => errors::ResultCode::VersionNotLoaded,
        sidecar::StartError::Http(err) if err.is_not_sent() => {
            place.set_outcome(admission::Outcome::Error);
            errors::ResultCode::Unreachable
        }
        sidecar::StartError::Http(http::HttpError::TimedOut) => {
            place.set_lingers();
            errors::ResultCode::DeadlineExceeded
        }
        sidecar::StartError::Http(_) | sidecar::StartError::Status(_) => {
            place.set_outcome(admission::Outcome::Error);
            errors::ResultCode::Interrupted
        }
    };
    errors::Refusal::new(code, format!("engine: {err}"))
}
