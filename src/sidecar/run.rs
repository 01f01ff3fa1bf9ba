//! Runs one dispatched attempt.

use std::time::{Duration, Instant};

use quinn::SendStream;
use smol::future::FutureExt;

use crate::admission;
use crate::attempt;
use crate::errors;
use crate::poison;
use crate::runtime;
use crate::sidecar::check;
use crate::sidecar::cx;
use crate::sidecar::model;
use crate::sidecar::place;
use crate::sidecar::service;
use crate::wire;

/// Time for the entry to receive the last frame before a stop closes the connection.
const LAST_FRAME: Duration = Duration::from_secs(2);

/// Runs the attempt and writes its replies. The future is dropped, and with
/// it the place in the queue or the engine's work, when the entry gives the
/// stream up.
pub async fn run(
    cx: &cx::Shared,
    dispatch: attempt::Dispatch,
    mut tx: SendStream,
) -> Result<(), wire::WireError> {
    let _stream = cx.streams.enter();
    let deadline = Instant::now() + dispatch.time_left.duration();
    let stopped = tx.stopped();
    let gone = async {
        let _ = stopped.await;
        Err(wire::WireError::Lost(
            "the entry gave the request up".into(),
        ))
    };
    let result = replies(cx, &dispatch, deadline, &mut tx).or(gone).await;
    if result.is_ok() {
        let _ = tx.finish();
        let _ = runtime::timeout_at(Instant::now() + LAST_FRAME, tx.stopped()).await;
    }
    result
}

async fn replies(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    deadline: Instant,
    tx: &mut SendStream,
) -> Result<(), wire::WireError> {
    let place = match admit(cx, dispatch, deadline).await {
        Ok(place) => place,
        Err(refusal) => return refuse(cx, dispatch, tx, refusal).await,
    };
    log::info!(
        "admit: request {} attempt {} of team {} starts.",
        dispatch.request,
        dispatch.attempt,
        dispatch.team
    );
    match &dispatch.work {
        attempt::Work::Model { .. } => model::run(cx, dispatch, deadline, place, tx).await,
        attempt::Work::Service { .. } => service::run(cx, dispatch, deadline, place, tx).await,
    }
}

/// Waits for a place. A suspect of a crash shares the endpoint with no other
/// request, so that a further crash by it ends no other request and puts no
/// other under suspicion. The entry may know of the crash before this process
/// has read it from the log.
async fn admit(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    deadline: Instant,
) -> Result<place::Place, errors::Refusal> {
    check::check(cx, dispatch)?;
    let suspicion = cx
        .control
        .snapshot()
        .quarantine
        .suspicion(dispatch.fingerprint);
    let ask = admission::Ask {
        priority: dispatch.priority,
        deadline,
        alone: dispatch.alone || suspicion == poison::Suspicion::Suspect,
    };
    let place = place::enter(cx, ask).await?;
    check::check(cx, dispatch)?;
    Ok(place)
}

/// Tells the entry that nothing was passed on.
pub async fn refuse(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    tx: &mut SendStream,
    refusal: errors::Refusal,
) -> Result<(), wire::WireError> {
    log::info!(
        "admit: request {} attempt {} refused: {refusal}.",
        dispatch.request,
        dispatch.attempt
    );
    let load = cx.report();
    wire::write(tx, &wire::Reply::Refused { refusal, load }).await
}

/// Tells the entry that the attempt broke off after it had been passed on.
pub async fn fail(
    dispatch: &attempt::Dispatch,
    tx: &mut SendStream,
    refusal: errors::Refusal,
    usage: attempt::Usage,
) -> Result<(), wire::WireError> {
    log::warn!(
        "admit: request {} attempt {} failed: {refusal}.",
        dispatch.request,
        dispatch.attempt
    );
    wire::write(tx, &wire::Reply::Failed { refusal, usage }).await
}
