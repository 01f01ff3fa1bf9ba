//! Admits one dispatched attempt, runs it and replies to the entry.

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
use crate::sidecar::service;
use crate::sidecar::slot;
use crate::wire;

/// Time limit for the entry to receive the last frame, so that a planned stop does
/// not close the connection earlier.
const LAST_FRAME_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the attempt and writes its replies. If the entry cancels the stream, the
/// attempt is dropped, which removes it from the queue or cancels the engine's work.
pub async fn run(
    cx: &cx::Shared,
    dispatch: attempt::Dispatch,
    mut tx: SendStream,
) -> Result<(), wire::WireError> {
    let _stream = cx.streams.enter();
    let deadline = Instant::now() + dispatch.time_left.duration();
    let stopped = tx.stopped();
    let cancelled = async {
        let _ = stopped.await;
        Err(wire::WireError::Lost(
            "the entry cancelled the request".into(),
        ))
    };
    let result = admit_and_run(cx, &dispatch, deadline, &mut tx)
        .or(cancelled)
        .await;
    if result.is_ok() {
        let _ = tx.finish();
        let _ = runtime::timeout_at(Instant::now() + LAST_FRAME_TIMEOUT, tx.stopped()).await;
    }
    result
}

async fn admit_and_run(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    deadline: Instant,
    tx: &mut SendStream,
) -> Result<(), wire::WireError> {
    let slot = match admit(cx, dispatch, deadline).await {
        Ok(slot) => slot,
        Err(refusal) => return refuse(cx, dispatch, tx, refusal).await,
    };
    log::info!(
        "admit: request {} attempt {} of team {} starts.",
        dispatch.request,
        dispatch.attempt,
        dispatch.team
    );
    match &dispatch.work {
        attempt::Work::Model { .. } => model::run(cx, dispatch, deadline, slot, tx).await,
        attempt::Work::Service { .. } => service::run(cx, dispatch, deadline, slot, tx).await,
    }
}

/// Waits for a slot. A request suspected of a crash runs alone on the endpoint,
/// so that another crash by it neither ends other requests nor puts them under
/// suspicion. The entry sets `alone` because it may receive the crash before this
/// process has read it from the log.
async fn admit(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    deadline: Instant,
) -> Result<slot::Slot, errors::Refusal> {
    check::check_dispatch(cx, dispatch)?;
    let suspicion = cx
        .control
        .snapshot()
        .quarantine
        .suspicion(dispatch.fingerprint);
    let request = admission::AdmissionRequest {
        priority: dispatch.priority,
        deadline,
        exclusive: dispatch.alone || suspicion == poison::Suspicion::Suspect,
    };
    let slot = slot::acquire(cx, request).await?;
    check::check_dispatch(cx, dispatch)?;
    Ok(slot)
}

/// Logs the refusal and replies that the attempt was not run.
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

/// Logs the failure and replies that the attempt failed after it had been
/// forwarded to the endpoint.
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
