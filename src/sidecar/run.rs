//! Runs one dispatched attempt.

use std::sync::Arc;
use std::time::Instant;

use quinn::SendStream;
use smol::future::FutureExt;

use crate::attempt;
use crate::control;
use crate::errors;
use crate::ids;
use crate::runtime;
use crate::sidecar::cx;
use crate::sidecar::engine;
use crate::wire;

/// Runs the attempt and writes its replies. The future is dropped, and the
/// engine's work cancelled with it, when the entry gives the stream up.
pub async fn run(
    cx: &cx::Shared,
    dispatch: attempt::Dispatch,
    mut tx: SendStream,
) -> Result<(), wire::WireError> {
    let deadline = Instant::now() + dispatch.time_left.duration();
    if let Err(refusal) = check(&cx.control.snapshot(), &cx.report().versions, &dispatch) {
        return refuse(cx, &dispatch, &mut tx, refusal).await;
    }
    if !cx.with_gate(crate::admission::Gate::try_enter) {
        let refusal = errors::Refusal::new(
            errors::ResultCode::Overloaded,
            "the endpoint is at its limit",
        );
        return refuse(cx, &dispatch, &mut tx, refusal).await;
    }
    let place = Place(Arc::clone(cx));
    let stopped = tx.stopped();
    let gone = async {
        let _ = stopped.await;
        Err(wire::WireError::Lost(
            "the entry gave the request up".into(),
        ))
    };
    let result = answer(cx, &dispatch, deadline, &mut tx).or(gone).await;
    drop(place);
    if result.is_ok() {
        let _ = tx.finish();
    }
    result
}

/// A place within the limit; given back when dropped.
struct Place(cx::Shared);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.with_gate(crate::admission::Gate::leave);
    }
}

/// Checks again what the entry may not know yet.
fn check(
    snapshot: &control::Snapshot,
    loaded: &[ids::VersionName],
    dispatch: &attempt::Dispatch,
) -> Result<(), errors::Refusal> {
    if !snapshot.is_serving() {
        return Err(errors::Refusal::new(
            errors::ResultCode::Draining,
            format!("the process is {}", snapshot.phase),
        ));
    }
    if snapshot.self_out {
        return Err(errors::Refusal::new(
            errors::ResultCode::TakenOut,
            "the failure domain or the VM is taken out",
        ));
    }
    match &dispatch.work {
        attempt::Work::Model {
            profile, version, ..
        } => check_model(snapshot, loaded, profile, version),
        attempt::Work::Service { .. } => Err(errors::Refusal::new(
            errors::ResultCode::UnknownService,
            "the endpoint is a model engine",
        )),
    }
}

fn check_model(
    snapshot: &control::Snapshot,
    loaded: &[ids::VersionName],
    profile: &ids::ProfileName,
    version: &ids::VersionName,
) -> Result<(), errors::Refusal> {
    if snapshot.withdrawn.contains(version) {
        return Err(errors::Refusal::new(
            errors::ResultCode::VersionWithdrawn,
            "the version is withdrawn",
        ));
    }
    let allowed = snapshot
        .profiles
        .get(profile)
        .is_some_and(|view| view.profile.versions.contains(version));
    if !allowed {
        return Err(errors::Refusal::new(
            errors::ResultCode::NotAllowed,
            "the profile does not allow the version",
        ));
    }
    if !loaded.contains(version) {
        return Err(errors::Refusal::new(
            errors::ResultCode::VersionNotLoaded,
            "the endpoint does not serve the version",
        ));
    }
    Ok(())
}

async fn refuse(
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
    wire::write(
        tx,
        &wire::Reply::Refused {
            refusal,
            load: cx.report(),
        },
    )
    .await?;
    let _ = tx.finish();
    Ok(())
}

async fn answer(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    deadline: Instant,
    tx: &mut SendStream,
) -> Result<(), wire::WireError> {
    let attempt::Work::Model {
        version,
        body,
        resume_from,
        resume_text,
        ..
    } = &dispatch.work
    else {
        return Ok(());
    };
    log::info!(
        "admit: request {} attempt {} of team {} on {version}.",
        dispatch.request,
        dispatch.attempt,
        dispatch.team
    );
    wire::write(tx, &wire::Reply::Accepted).await?;
    let time_left = deadline.saturating_duration_since(Instant::now());
    let mut stream = match cx
        .engine
        .start(version, body, (*resume_from, resume_text), time_left)
        .await
    {
        Ok(stream) => stream,
        Err(err) => {
            let refusal =
                errors::Refusal::new(errors::ResultCode::Interrupted, format!("engine: {err}"));
            return wire::write(
                tx,
                &wire::Reply::Failed {
                    refusal,
                    usage: attempt::Usage::default(),
                },
            )
            .await;
        }
    };
    let mut seq = *resume_from;
    loop {
        match runtime::timeout_at(deadline, stream.next()).await {
            Some(Ok(engine::EngineEvent::Text(text))) => {
                wire::write(tx, &wire::Reply::Chunk { seq, text }).await?;
                seq += 1;
            }
            Some(Ok(engine::EngineEvent::End { finish, usage })) => {
                return wire::write(
                    tx,
                    &wire::Reply::Done {
                        finish,
                        usage,
                        load: cx.report(),
                    },
                )
                .await;
            }
            Some(Err(err)) => {
                let refusal =
                    errors::Refusal::new(errors::ResultCode::Interrupted, format!("engine: {err}"));
                return wire::write(
                    tx,
                    &wire::Reply::Failed {
                        refusal,
                        usage: stream.usage(),
                    },
                )
                .await;
            }
            None => {
                let refusal = errors::Refusal::new(
                    errors::ResultCode::DeadlineExceeded,
                    "the deadline passed",
                );
                return wire::write(
                    tx,
                    &wire::Reply::Failed {
                        refusal,
                        usage: stream.usage(),
                    },
                )
                .await;
            }
        }
    }
}
