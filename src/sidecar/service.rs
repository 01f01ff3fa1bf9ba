//! Runs an attempt on a plain service, with at-most-once execution of
//! non-idempotent calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use quinn::SendStream;
use smol::channel;
use smol::net::TcpStream;

use crate::admission;
use crate::attempt;
use crate::errors;
use crate::http;
use crate::ids;
use crate::runtime;
use crate::sidecar::cx;
use crate::sidecar::dispatch;
use crate::sidecar::slot;
use crate::sidecar::usage;
use crate::units;
use crate::wire;

/// Maximum size of an answer, which must fit into a frame.
const MAX_ANSWER: units::Bytes = units::Bytes(1_024 * 1_024);
/// Time after the caller's deadline during which a non-idempotent call may still
/// end, so that its outcome becomes known.
const CALL_GRACE: Duration = Duration::from_mins(1);
/// Time limit for the connection of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client of one plain service; clones share its connections.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: http::Client,
}

impl ServiceClient {
    /// Creates a client of the service at `addr`; connections run on `traffic`.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self {
            http: http::Client::new(addr, traffic),
        }
    }

    /// Returns whether the service accepts a connection within the health check's time limit.
    pub async fn is_up(&self) -> bool {
        let connect = TcpStream::connect(self.http.addr());
        matches!(
            runtime::timeout_at(Instant::now() + HEALTH_TIMEOUT, connect).await,
            Some(Ok(_))
        )
    }

    /// Makes a call and reads the complete answer; `timeout` covers both.
    pub async fn call(
        &self,
        request: ids::RequestId,
        work: &attempt::Work,
        timeout: Duration,
    ) -> Result<attempt::ServiceAnswer, http::HttpError> {
        let req = http_request(request, work)?;
        let until = Instant::now() + timeout;
        let answer = self.http.send(req, timeout).await?;
        let status = answer.status.as_u16();
        let content_type = answer
            .headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(Arc::from);
        let body = runtime::timeout_at(until, answer.bytes(MAX_ANSWER))
            .await
            .ok_or(http::HttpError::TimedOut)??;
        Ok(attempt::ServiceAnswer {
            status,
            content_type,
            body: body.to_vec(),
        })
    }
}

fn http_request(
    request: ids::RequestId,
    work: &attempt::Work,
) -> Result<Request<Full<Bytes>>, http::HttpError> {
    let attempt::Work::Service {
        method,
        path,
        content_type,
        body,
        ..
    } = work
    else {
        return Err(http::HttpError::NotSent("not a call of a service".into()));
    };
    let mut req = Request::builder()
        .method(&**method)
        .uri(&**path)
        .header("x-quetzalworks-request-id", request.to_string());
    if let Some(content_type) = content_type {
        req = req.header(CONTENT_TYPE, &**content_type);
    }
    req.body(Full::new(Bytes::from(body.clone())))
        .map_err(|err| http::HttpError::NotSent(err.to_string().into()))
}

/// Outcome of a call, whether it was made now or earlier.
enum CallOutcome {
    /// The service answered the call.
    Answered(attempt::ServiceAnswer),
    /// The call was not sent to the service.
    NotRun(errors::Refusal),
    /// The call was sent, but has no answer; it may have run.
    Failed(errors::Refusal),
}

/// Forwards the attempt to the service and writes its replies to the entry.
pub async fn run(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    deadline: Instant,
    slot: slot::Slot,
    tx: &mut SendStream,
) -> Result<(), wire::WireError> {
    let call = match &dispatch.work {
        attempt::Work::Service { call, .. } => *call,
        attempt::Work::Model { .. } => None,
    };
    let outcome = match call {
        None => exchange(cx, dispatch, None, deadline, slot).await,
        Some(call) => match cx.with_calls(|calls| calls.start(&call)) {
            Ok(()) => run_to_end(cx, dispatch, call, deadline, slot).await,
            Err(refusal) => outcome_without_start(refusal),
        },
    };
    match outcome {
        CallOutcome::NotRun(refusal) => dispatch::refuse(cx, dispatch, tx, refusal).await,
        CallOutcome::Answered(answer) => {
            wire::write(tx, &wire::Reply::Accepted).await?;
            wire::write(tx, &wire::Reply::Answer(answer)).await
        }
        CallOutcome::Failed(refusal) => {
            wire::write(tx, &wire::Reply::Accepted).await?;
            dispatch::fail(dispatch, tx, refusal, attempt::Usage::default()).await
        }
    }
}

/// Runs a non-idempotent call in its own task, so that it is not interrupted if
/// the entry disconnects, and its outcome is kept for a retry.
async fn run_to_end(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    call: attempt::CallRef,
    deadline: Instant,
    slot: slot::Slot,
) -> CallOutcome {
    let (outcome_tx, outcome_rx) = channel::bounded(1);
    let (cx2, dispatch) = (Arc::clone(cx), dispatch.clone());
    let task = async move {
        let until = deadline + CALL_GRACE;
        let outcome = exchange(&cx2, &dispatch, Some(&call), until, slot).await;
        let _ = outcome_tx.try_send(outcome);
    };
    cx.traffic.spawn(task).detach();
    match runtime::timeout_at(deadline, outcome_rx.recv()).await {
        Some(Ok(outcome)) => outcome,
        _ => CallOutcome::Failed(outcome_unknown("the deadline passed while the call ran")),
    }
}

/// Returns the outcome of a call that is not started now, for example because
/// it was started before.
fn outcome_without_start(refusal: admission::CallRefusal) -> CallOutcome {
    match refusal {
        admission::CallRefusal::Incarnation => CallOutcome::NotRun(errors::Refusal::new(
            errors::ResultCode::IncarnationMismatch,
            "the call was meant for another run of the process",
        )),
        admission::CallRefusal::Known(admission::CallState::Fenced) => CallOutcome::NotRun(
            errors::Refusal::new(errors::ResultCode::AttemptFenced, "the call was fenced"),
        ),
        admission::CallRefusal::Known(admission::CallState::Finished(answer)) => {
            CallOutcome::Answered(answer)
        }
        admission::CallRefusal::Known(admission::CallState::Running) => CallOutcome::Failed(
            errors::Refusal::new(errors::ResultCode::InProgress, "the call is running"),
        ),
        admission::CallRefusal::Known(admission::CallState::Unknown) => {
            CallOutcome::Failed(outcome_unknown("the call was started before"))
        }
    }
}

fn outcome_unknown(message: impl Into<Arc<str>>) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::OutcomeUnknown, message)
}

/// Sends the call and records its outcome in the table of calls, on the slot and
/// in the usage record.
async fn exchange(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    call: Option<&attempt::CallRef>,
    until: Instant,
    mut slot: slot::Slot,
) -> CallOutcome {
    let mut usage_copy = usage::UsageCopy::begin(cx, dispatch);
    let timeout = until.saturating_duration_since(Instant::now());
    let result = cx
        .service
        .call(dispatch.request, &dispatch.work, timeout)
        .await;
    if let Some(call) = call {
        cx.with_calls(|calls| match &result {
            Ok(answer) => calls.finish(call, Some(answer.clone())),
            Err(err) if err.is_not_sent() => calls.abandon(call),
            Err(_) => calls.finish(call, None),
        });
    }
    match result {
        Ok(answer) => {
            slot.set_outcome(admission_outcome(answer.status));
            usage_copy.set_result(None);
            CallOutcome::Answered(answer)
        }
        Err(err) if err.is_not_sent() => {
            slot.set_outcome(admission::Outcome::Error);
            cx.set_status(None);
            usage_copy.discard();
            CallOutcome::NotRun(errors::Refusal::new(
                errors::ResultCode::Unreachable,
                format!("service: {err}"),
            ))
        }
        Err(err) => {
            if matches!(err, http::HttpError::Broken(_)) {
                slot.set_outcome(admission::Outcome::Error);
            }
            let refusal = failure(&err, call.is_some());
            usage_copy.set_result(Some(&refusal));
            CallOutcome::Failed(refusal)
        }
    }
}

/// Returns what an HTTP status indicates about the endpoint: 502 to 504 mean
/// that the service cannot handle its load.
const fn admission_outcome(status: u16) -> admission::Outcome {
    match status {
        502..=504 => admission::Outcome::Error,
        _ => admission::Outcome::Success,
    }
}

fn failure(err: &http::HttpError, at_most_once: bool) -> errors::Refusal {
    let code = match err {
        _ if at_most_once => errors::ResultCode::OutcomeUnknown,
        http::HttpError::TimedOut => errors::ResultCode::DeadlineExceeded,
        _ => errors::ResultCode::Interrupted,
    };
    errors::Refusal::new(code, format!("service: {err}"))
}

/// Fences a non-idempotent call if it has not started, and returns its state.
pub fn fence_call(
    cx: &cx::SidecarCx,
    call: ids::CallId,
    generation: ids::Generation,
    incarnation: ids::Incarnation,
) -> wire::FenceReply {
    let state = cx.with_calls(|calls| calls.fence(call, generation, incarnation));
    let (name, reply) = match state {
        admission::CallState::Fenced => ("fenced", wire::FenceReply::Fenced),
        admission::CallState::Running => ("running", wire::FenceReply::Running),
        admission::CallState::Finished(answer) => ("finished", wire::FenceReply::Finished(answer)),
        admission::CallState::Unknown => ("unknown", wire::FenceReply::Unknown),
    };
    log::info!("calls: fence query for call {call} generation {generation}: {name}.");
    reply
}
