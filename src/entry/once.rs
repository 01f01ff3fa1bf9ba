//! Non-idempotent calls: each runs at most once.

use std::time::{Duration, Instant};

use crate::attempt;
use crate::calls;
use crate::catalog;
use crate::control;
use crate::entry::service_run::{Failure, ServiceRun};
use crate::entry::{bill, call_book, cx};
use crate::errors;
use crate::ids;
use crate::runtime;
use crate::units;
use crate::wire;

/// Time for a claim to be appended and read back.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for the answer to a fence.
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Hint to a caller whose call is running.
const RUNNING_RETRY: units::Millis = units::Millis(1_000);
/// Rounds in which claims may be lost to other entries.
const MAX_ROUNDS: u32 = 8;

/// What the state of a call allows.
enum Next {
    /// A claim of this generation may be made.
    Claim(ids::Generation),
    /// The call has been answered.
    Answered(attempt::ServiceAnswer),
}

/// Checks the age of a key.
pub fn check_key(key: &calls::Key, undated: catalog::UndatedKeys) -> Result<(), errors::Refusal> {
    let refuse = |code, reason| Err(errors::Refusal::new(code, reason));
    match key.age(bill::now()) {
        calls::KeyAge::Current => Ok(()),
        calls::KeyAge::Undated if undated == catalog::UndatedKeys::Accept => Ok(()),
        calls::KeyAge::Undated => refuse(
            errors::ResultCode::KeyUndated,
            "the service accepts only keys that are UUIDs of version 7",
        ),
        calls::KeyAge::Expired => refuse(
            errors::ResultCode::KeyExpired,
            "the key is older than the idempotency window",
        ),
        calls::KeyAge::Ahead => refuse(
            errors::ResultCode::MalformedRequest,
            "the key is dated in the future",
        ),
    }
}

/// Runs the call with this key, or answers with what became of it.
pub async fn run(
    run: &mut ServiceRun,
    key: &calls::Key,
) -> Result<attempt::ServiceAnswer, errors::Refusal> {
    let call = key.call(&run.ask.team, &run.ask.service);
    let body = run.ask.digest();
    let mut never = None;
    let mut last = None;
    for _ in 0..MAX_ROUNDS {
        let generation = match next(&run.cx, call, body, never).await? {
            Next::Answered(answer) => return Ok(answer),
            Next::Claim(generation) => generation,
        };
        if run.is_exhausted() {
            break;
        }
        let snapshot = run.cx.control.snapshot();
        let endpoint = match run.choose(&snapshot) {
            Ok(endpoint) => endpoint,
            Err(refusal) => return Err(cx::hinted(last.unwrap_or(refusal))),
        };
        let Some(view) = snapshot.endpoints.get(endpoint) else {
            continue;
        };
        let claim = calls::Claim {
            call,
            body,
            request: run.ask.id,
            entry: run.cx.me.vm.clone(),
            vm: view.vm.clone(),
            incarnation: view.incarnation,
            generation,
        };
        if !won(&run.cx, &claim, run.ask.deadline).await? {
            continue;
        }
        match dispatch(run, &snapshot, endpoint, &claim).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) if refusal.code == errors::ResultCode::OutcomeUnknown => {
                return Err(refusal);
            }
            Err(refusal) => {
                never = Some((claim.request, claim.generation));
                last = Some(run.cx.may_retry(refusal)?);
            }
        }
    }
    Err(cx::hinted(last.unwrap_or_else(|| {
        errors::Refusal::new(
            errors::ResultCode::InProgress,
            "other requests claim the call",
        )
        .retry_after(RUNNING_RETRY)
    })))
}

/// What the state of the call allows. `never` is the caller's own last claim,
/// known not to have run before that is read back.
async fn next(
    cx: &cx::Shared,
    call: ids::CallId,
    body: ids::Digest,
    never: Option<(ids::RequestId, ids::Generation)>,
) -> Result<Next, errors::Refusal> {
    let standing = cx.calls.standing(call).map_err(|call_book::NotCaughtUp| {
        unavailable("the calls on record have not been read yet")
    })?;
    let Some(standing) = standing else {
        return Ok(Next::Claim(ids::Generation(0).next()));
    };
    let claim = &standing.claim;
    if claim.body != body {
        return Err(errors::Refusal::new(
            errors::ResultCode::KeyReused,
            "the key was used before with another request",
        ));
    }
    let own = Some((claim.request, claim.generation)) == never;
    match standing.ran {
        Some(calls::End::Answered(offset)) => replay(cx, claim, offset).await,
        Some(calls::End::Never) => Ok(Next::Claim(claim.generation.next())),
        None if own => Ok(Next::Claim(claim.generation.next())),
        None => fence(cx, claim).await,
    }
}

async fn replay(
    cx: &cx::Shared,
    claim: &calls::Claim,
    offset: ids::Offset,
) -> Result<Next, errors::Refusal> {
    match cx.calls.recorded(offset).await {
        Ok(Some(answer)) => {
            log::info!("calls: {} replayed from offset {offset}.", claim.call);
            Ok(Next::Answered(answer))
        }
        // Only the process beside the endpoint still has an answer that was
        // too large for the log.
        Ok(None) => match ask(cx, claim).await {
            wire::FenceReply::Finished(answer) => Ok(Next::Answered(answer)),
            _ => Err(unknown(
                "the call was answered; the answer was too large to be kept",
            )),
        },
        Err(err) => Err(unknown(&format!(
            "the call was answered; the answer cannot be read: {err}"
        ))
        .retry_after(RUNNING_RETRY)),
    }
}

/// Finds out what became of a claim without outcome.
async fn fence(cx: &cx::Shared, claim: &calls::Claim) -> Result<Next, errors::Refusal> {
    let reply = ask(cx, claim).await;
    log::info!(
        "calls: {} generation {} by {} on {}: {}.",
        claim.call,
        claim.generation,
        claim.entry,
        claim.vm,
        match &reply {
            wire::FenceReply::Fenced => "fenced",
            wire::FenceReply::Running => "running",
            wire::FenceReply::Finished(_) => "finished",
            wire::FenceReply::Unknown => "unknown",
        }
    );
    match reply {
        wire::FenceReply::Fenced => Ok(Next::Claim(claim.generation.next())),
        wire::FenceReply::Finished(answer) => {
            let recorded = calls::RecordedAnswer::of(&answer);
            cx.calls.end(claim, calls::Ran::Answered(recorded));
            Ok(Next::Answered(answer))
        }
        wire::FenceReply::Running => Err(errors::Refusal::new(
            errors::ResultCode::InProgress,
            "the call is running",
        )
        .retry_after(RUNNING_RETRY)),
        wire::FenceReply::Unknown => Err(unknown("the endpoint cannot tell whether the call ran")),
    }
}

/// Asks the process that the claim names; one that cannot be asked is unknown.
async fn ask(cx: &cx::Shared, claim: &calls::Claim) -> wire::FenceReply {
    let opening = wire::Opening::FenceCall {
        call: claim.call,
        generation: claim.generation,
        incarnation: claim.incarnation,
    };
    let exchange = async {
        let (_tx, mut rx) = cx.links.open(&claim.vm, &opening).await?;
        wire::read::<wire::FenceReply>(&mut rx).await
    };
    match runtime::timeout_at(Instant::now() + FENCE_TIMEOUT, exchange).await {
        Some(Ok(Some(reply))) => reply,
        _ => wire::FenceReply::Unknown,
    }
}

async fn won(
    cx: &cx::Shared,
    claim: &calls::Claim,
    deadline: Instant,
) -> Result<bool, errors::Refusal> {
    let deadline = deadline.min(Instant::now() + CLAIM_TIMEOUT);
    match cx.calls.claim(claim.clone(), deadline).await {
        Some(calls::Verdict::Won) => Ok(true),
        Some(_) => Ok(false),
        None => {
            // Should the claim arrive late, this spares others the question.
            cx.calls.end(claim, calls::Ran::Never);
            Err(unavailable("the call could not be put on record"))
        }
    }
}

async fn dispatch(
    run: &mut ServiceRun,
    snapshot: &control::Snapshot,
    endpoint: control::EndpointKey,
    claim: &calls::Claim,
) -> Result<attempt::ServiceAnswer, errors::Refusal> {
    let call = attempt::CallRef {
        call: claim.call,
        generation: claim.generation,
        incarnation: claim.incarnation,
    };
    match run.attempt(snapshot, endpoint, Some(call)).await {
        Ok(answer) => {
            let recorded = calls::RecordedAnswer::of(&answer);
            run.cx.calls.end(claim, calls::Ran::Answered(recorded));
            Ok(answer)
        }
        Err(Failure::NotRun(refusal)) => {
            run.cx.calls.end(claim, calls::Ran::Never);
            Err(refusal)
        }
        Err(Failure::MayHaveRun(refusal)) => {
            log::warn!("calls: {} may have run: {refusal}.", claim.call);
            Err(unknown(&refusal.message))
        }
    }
}

fn unknown(reason: &str) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::OutcomeUnknown, reason)
}

fn unavailable(reason: &str) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::ClaimUnavailable, reason).retry_after(RUNNING_RETRY)
}
