//! Runs an attempt on a plain service.

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
use crate::sidecar::place;
use crate::sidecar::run;
use crate::sidecar::usage;
use crate::units;
use crate::wire;

/// Largest answer; it must fit into a frame.
const MAX_ANSWER: units::Bytes = units::Bytes(1_024 * 1_024);
/// Time beyond the caller's deadline in which the end of a non-idempotent
/// call may still be learned.
const CALL_GRACE: Duration = Duration::from_mins(1);
/// Time for the connection of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the service.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: http::Client,
}

impl ServiceClient {
    /// A client of the service at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self {
            http: http::Client::new(addr, traffic),
        }
    }

    /// Whether the service accepts connections.
    pub async fn is_up(&self) -> bool {
        let connect = TcpStream::connect(self.http.addr());
        matches!(
            runtime::timeout_at(Instant::now() + HEALTH_TIMEOUT, connect).await,
            Some(Ok(_))
        )
    }

    /// Makes a call and reads the whole answer.
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

/// How a call ended.
enum End {
    /// Answered.
    Answered(attempt::ServiceAnswer),
    /// The service has seen nothing of it.
    NotRun(errors::Refusal),
    /// It was passed on and broke off.
    Failed(errors::Refusal),
}

/// Passes the attempt on and writes its replies.
pub async fn run(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    deadline: Instant,
    place: place::Place,
    tx: &mut SendStream,
) -> Result<(), wire::WireError> {
    let call = match &dispatch.work {
        attempt::Work::Service { call, .. } => *call,
        attempt::Work::Model { .. } => None,
    };
    let end = match call {
        None => exchange(cx, dispatch, None, deadline, place).await,
        Some(call) => match cx.with_calls(|calls| calls.start(&call)) {
            Ok(()) => once(cx, dispatch, call, deadline, place).await,
            Err(refusal) => known(refusal),
        },
    };
    match end {
        End::NotRun(refusal) => run::refuse(cx, dispatch, tx, refusal).await,
        End::Answered(answer) => {
            wire::write(tx, &wire::Reply::Accepted).await?;
            wire::write(tx, &wire::Reply::Answer(answer)).await
        }
        End::Failed(refusal) => {
            wire::write(tx, &wire::Reply::Accepted).await?;
            run::fail(dispatch, tx, refusal, attempt::Usage::default()).await
        }
    }
}

/// Runs a non-idempotent call in a task of its own: it is never cut off
/// half-way when the entry goes away, and its end is kept for a replay.
async fn once(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    call: attempt::CallRef,
    deadline: Instant,
    place: place::Place,
) -> End {
    let (done, ended) = channel::bounded(1);
    let (cx2, dispatch) = (Arc::clone(cx), dispatch.clone());
    let task = async move {
        let until = deadline + CALL_GRACE;
        let end = exchange(&cx2, &dispatch, Some(&call), until, place).await;
        let _ = done.try_send(end);
    };
    cx.traffic.spawn(task).detach();
    match runtime::timeout_at(deadline, ended.recv()).await {
        Some(Ok(end)) => end,
        _ => End::Failed(unknown("the deadline passed while the call ran")),
    }
}

/// What is said of a call that is not started now.
fn known(refusal: admission::CallRefusal) -> End {
    match refusal {
        admission::CallRefusal::Incarnation => End::NotRun(errors::Refusal::new(
            errors::ResultCode::IncarnationMismatch,
            "the call was meant for another run of the process",
        )),
        admission::CallRefusal::Known(admission::CallState::Fenced) => End::NotRun(
            errors::Refusal::new(errors::ResultCode::AttemptFenced, "the call was fenced"),
        ),
        admission::CallRefusal::Known(admission::CallState::Finished(answer)) => {
            End::Answered(answer)
        }
        admission::CallRefusal::Known(admission::CallState::Running) => End::Failed(
            errors::Refusal::new(errors::ResultCode::InProgress, "the call is running"),
        ),
        admission::CallRefusal::Known(admission::CallState::Unknown) => {
            End::Failed(unknown("the call was started before"))
        }
    }
}

fn unknown(message: impl Into<Arc<str>>) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::OutcomeUnknown, message)
}

async fn exchange(
    cx: &cx::Shared,
    dispatch: &attempt::Dispatch,
    call: Option<&attempt::CallRef>,
    until: Instant,
    mut place: place::Place,
) -> End {
    let mut copy = usage::Copy::begin(cx, dispatch);
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
            place.set_outcome(outcome(answer.status));
            copy.ended(None);
            End::Answered(answer)
        }
        Err(err) if err.is_not_sent() => {
            place.set_outcome(admission::Outcome::Error);
            cx.set_status(None);
            copy.discard();
            End::NotRun(errors::Refusal::new(
                errors::ResultCode::Unreachable,
                format!("service: {err}"),
            ))
        }
        Err(err) => {
            if matches!(err, http::HttpError::Broken(_)) {
                place.set_outcome(admission::Outcome::Error);
            }
            let refusal = broken(&err, call.is_some());
            copy.ended(Some(&refusal));
            End::Failed(refusal)
        }
    }
}

/// A service that answers these statuses does not bear its load.
const fn outcome(status: u16) -> admission::Outcome {
    match status {
        502..=504 => admission::Outcome::Error,
        _ => admission::Outcome::Success,
    }
}

fn broken(err: &http::HttpError, once: bool) -> errors::Refusal {
    let code = match err {
        _ if once => errors::ResultCode::OutcomeUnknown,
        http::HttpError::TimedOut => errors::ResultCode::DeadlineExceeded,
        _ => errors::ResultCode::Interrupted,
    };
    errors::Refusal::new(code, format!("service: {err}"))
}

/// Answers a question about a call.
pub fn fence(
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
    log::info!("calls: call {call} generation {generation} is asked for: {name}.");
    reply
}
