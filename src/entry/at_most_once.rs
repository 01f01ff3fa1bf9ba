//! Non-idempotent calls to plain services, each executed at most once.

use std::time::{Duration, Instant};

use crate::attempt;
use crate::calls;
use crate::catalog;
use crate::control;
use crate::entry::service_dispatcher::{Failure, ServiceDispatcher};
use crate::entry::{bill, call_registry, cx};
use crate::errors;
use crate::ids;
use crate::runtime;
use crate::units;
use crate::wire;

/// Maximum time for a claim to be appended and read back.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum time for the answer to a fence query.
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay sent to a caller whose call is running or could not be claimed.
const RETRY_AFTER: units::Millis = units::Millis(1_000);
/// Maximum number of rounds, in each of which a claim may lose to another request.
const MAX_CLAIM_ROUNDS: u32 = 8;

/// The step that the state of a call permits.
enum NextStep {
    /// The call may be claimed with this generation.
    Claim(ids::Generation),
    /// The call has been answered before; the answer is repeated.
    Answered(attempt::ServiceAnswer),
}

/// Refuses a key that is expired, dated in the future, or undated where the service
/// requires dated keys.
pub fn check_key(key: &calls::Key, undated: catalog::UndatedKeys) -> Result<(), errors::Refusal> {
    let refuse = |code, reason| Err(errors::Refusal::new(code, reason));
    match key.age(bill::unix_now()) {
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

/// Executes the call with this key, or returns its recorded answer if it has been
/// executed before.
pub async fn execute(
    dispatcher: &mut ServiceDispatcher,
    key: &calls::Key,
) -> Result<attempt::ServiceAnswer, errors::Refusal> {
    let call = key.call(&dispatcher.request.team, &dispatcher.request.service);
    let body = dispatcher.request.digest();
    let mut not_run = None;
    let mut last_refusal = None;
    for _ in 0..MAX_CLAIM_ROUNDS {
        let generation = match next_step(&dispatcher.cx, call, body, not_run).await? {
            NextStep::Answered(answer) => return Ok(answer),
            NextStep::Claim(generation) => generation,
        };
        if dispatcher.is_exhausted() {
            break;
        }
        let snapshot = dispatcher.cx.control.snapshot();
        let endpoint = match dispatcher.choose_endpoint(&snapshot) {
            Ok(endpoint) => endpoint,
            Err(refusal) => return Err(cx::with_retry_hint(last_refusal.unwrap_or(refusal))),
        };
        let Some(view) = snapshot.endpoints.get(endpoint) else {
            continue;
        };
        let claim = calls::Claim {
            call,
            body,
            request: dispatcher.request.id,
            entry: dispatcher.cx.identity.vm.clone(),
            vm: view.vm.clone(),
            incarnation: view.incarnation,
            generation,
        };
        if !acquire_claim(&dispatcher.cx, &claim, dispatcher.request.deadline).await? {
            continue;
        }
        match dispatch(dispatcher, &snapshot, endpoint, &claim).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) if refusal.code == errors::ResultCode::OutcomeUnknown => {
                return Err(refusal);
            }
            Err(refusal) => {
                not_run = Some((claim.request, claim.generation));
                last_refusal = Some(dispatcher.cx.check_retry(refusal)?);
            }
        }
    }
    Err(cx::with_retry_hint(last_refusal.unwrap_or_else(|| {
        errors::Refusal::new(
            errors::ResultCode::InProgress,
            "other requests claim the call",
        )
        .with_retry_after(RETRY_AFTER)
    })))
}

/// Returns the step that the state of the call permits. `not_run` is the latest claim
/// of this request if it is known not to have run, though not yet read back as such.
async fn next_step(
    cx: &cx::Shared,
    call: ids::CallId,
    body: ids::Digest,
    not_run: Option<(ids::RequestId, ids::Generation)>,
) -> Result<NextStep, errors::Refusal> {
    let standing = cx
        .calls
        .current_claim(call)
        .map_err(|call_registry::NotCaughtUp| {
            claim_unavailable("the calls on record have not been read yet")
        })?;
    let Some(standing) = standing else {
        return Ok(NextStep::Claim(ids::Generation(0).next()));
    };
    let claim = &standing.claim;
    if claim.body != body {
        return Err(errors::Refusal::new(
            errors::ResultCode::KeyReused,
            "the key was used before with another request",
        ));
    }
    let is_own_claim = Some((claim.request, claim.generation)) == not_run;
    match standing.outcome {
        Some(calls::ClaimOutcome::Answered(offset)) => replay(cx, claim, offset).await,
        Some(calls::ClaimOutcome::NotExecuted) => Ok(NextStep::Claim(claim.generation.next())),
        None if is_own_claim => Ok(NextStep::Claim(claim.generation.next())),
        None => fence(cx, claim).await,
    }
}

async fn replay(
    cx: &cx::Shared,
    claim: &calls::Claim,
    offset: ids::Offset,
) -> Result<NextStep, errors::Refusal> {
    match cx.calls.recorded_answer(offset).await {
        Ok(Some(answer)) => {
            log::info!(
                "calls: answer of {} replayed from offset {offset}.",
                claim.call
            );
            Ok(NextStep::Answered(answer))
        }
        // An answer too large for the log is kept only by the sidecar.
        Ok(None) => match query_claim(cx, claim).await {
            wire::FenceReply::Finished(answer) => Ok(NextStep::Answered(answer)),
            _ => Err(outcome_unknown(
                "the call was answered; the answer was too large to be kept",
            )),
        },
        Err(err) => Err(outcome_unknown(&format!(
            "the call was answered; the answer cannot be read: {err}"
        ))
        .with_retry_after(RETRY_AFTER)),
    }
}

/// Queries the sidecar for the state of a claim without a recorded outcome, and fences
/// the claim if it has not started.
async fn fence(cx: &cx::Shared, claim: &calls::Claim) -> Result<NextStep, errors::Refusal> {
    let reply = query_claim(cx, claim).await;
    log::info!(
        "calls: fence query for {}, generation {}, claimed by {} on {}: {}.",
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
        wire::FenceReply::Fenced => Ok(NextStep::Claim(claim.generation.next())),
        wire::FenceReply::Finished(answer) => {
            let recorded = calls::RecordedAnswer::of(&answer);
            cx.calls
                .record_outcome(claim, calls::Ran::Answered(recorded));
            Ok(NextStep::Answered(answer))
        }
        wire::FenceReply::Running => Err(errors::Refusal::new(
            errors::ResultCode::InProgress,
            "the call is running",
        )
        .with_retry_after(RETRY_AFTER)),
        wire::FenceReply::Unknown => Err(outcome_unknown(
            "the endpoint cannot tell whether the call ran",
        )),
    }
}

/// Sends a fence query to the sidecar that the claim names. The reply is `Unknown` if
/// the sidecar cannot be reached in time.
async fn query_claim(cx: &cx::Shared, claim: &calls::Claim) -> wire::FenceReply {
    let opening = wire::StreamOpening::FenceCall {
        call: claim.call,
        generation: claim.generation,
        incarnation: claim.incarnation,
    };
    let exchange = async {
        let (_tx, mut rx) = cx.links.open_stream(&claim.vm, &opening).await?;
        wire::read::<wire::FenceReply>(&mut rx).await
    };
    match runtime::timeout_at(Instant::now() + FENCE_TIMEOUT, exchange).await {
        Some(Ok(Some(reply))) => reply,
        _ => wire::FenceReply::Unknown,
    }
}

async fn acquire_claim(
    cx: &cx::Shared,
    claim: &calls::Claim,
    deadline: Instant,
) -> Result<bool, errors::Refusal> {
    let deadline = deadline.min(Instant::now() + CLAIM_TIMEOUT);
    match cx.calls.claim(claim.clone(), deadline).await {
        Some(calls::RecordEffect::Won) => Ok(true),
        Some(_) => Ok(false),
        None => {
            // If the claim takes effect late, this outcome spares other entries the fence query.
            cx.calls.record_outcome(claim, calls::Ran::Never);
            Err(claim_unavailable("the call could not be put on record"))
        }
    }
}

async fn dispatch(
    dispatcher: &mut ServiceDispatcher,
    snapshot: &control::Snapshot,
    endpoint: control::EndpointKey,
    claim: &calls::Claim,
) -> Result<attempt::ServiceAnswer, errors::Refusal> {
    let call = attempt::CallRef {
        call: claim.call,
        generation: claim.generation,
        incarnation: claim.incarnation,
    };
    match dispatcher.attempt_on(snapshot, endpoint, Some(call)).await {
        Ok(answer) => {
            let recorded = calls::RecordedAnswer::of(&answer);
            dispatcher
                .cx
                .calls
                .record_outcome(claim, calls::Ran::Answered(recorded));
            Ok(answer)
        }
        Err(Failure::NotRun(refusal)) => {
            dispatcher.cx.calls.record_outcome(claim, calls::Ran::Never);
            Err(refusal)
        }
        Err(Failure::MayHaveRun(refusal)) => {
            log::warn!("calls: call {} may have run: {refusal}.", claim.call);
            Err(outcome_unknown(&refusal.message))
        }
    }
}

fn outcome_unknown(reason: &str) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::OutcomeUnknown, reason)
}

fn claim_unavailable(reason: &str) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::ClaimUnavailable, reason).with_retry_after(RETRY_AFTER)
}
