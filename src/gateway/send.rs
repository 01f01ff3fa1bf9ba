//! A single attempt at one endpoint.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, StatusCode};
use smol::Timer;
use smol::future::FutureExt;

use crate::balance;
use crate::cascade;
use crate::direct;
use crate::gateway;
use crate::gateway::{call, pace};
use crate::http;
use crate::observe;
use crate::platform;
use crate::runtime;
use crate::units;

/// Media type of a stream of events.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// Maximum body of a refusal that is read to keep its connection in use.
const MAX_REFUSAL_BODY: units::Bytes = units::Bytes(16 * 1_024);
/// Time limit for reading the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// Time limit for the status of an engine, which it answers beside its other work.
const STATUS_TIMEOUT: Duration = Duration::from_millis(350);
/// Maximum size of a status.
const MAX_STATUS_BODY: units::Bytes = units::Bytes(256 * 1_024);

/// Interval at which a waiting request checks whether its endpoint is silent for all
/// requests of this entry.
pub const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct Opened {
    /// Response of the endpoint; dropping it ends the work there.
    pub answer: http::Answer,
    /// Metadata decoded from the headers of the response.
    pub metadata: gateway::AnswerMetadata,
    /// Endpoint that sent the response.
    pub endpoint: Arc<direct::EndpointView>,
    /// Client that holds the connections to the endpoint.
    pub client: http::Client,
    /// Permit that counts the request as in flight at the endpoint.
    pub permit: balance::Permit,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Prompt tokens that the endpoint had to read; zero without a prompt.
    pub unread: units::Tokens,
    /// Expected time in which it reads them.
    pub reading: Duration,
}

impl Opened {
    /// Returns whether the response declares to be a stream of events; `None` if it states
    /// no type.
    #[must_use]
    pub fn declares_events(&self) -> Option<bool> {
        let stated = self.answer.headers.get(CONTENT_TYPE)?;
        Some(stated.as_bytes().starts_with(EVENT_STREAM_TYPE))
    }

    /// Records that the answer has begun `first` after the request was sent.
    pub fn record_success(&self, call: &call::Call, first: Duration) {
        let now = runtime::Moment::now();
        self.endpoint.live.record_success(first, self.reading, now);
        pace::report(&self.endpoint);
        call.cx
            .record_reading(&call.service, call.model, self.unread, first);
    }
}

/// Error of an attempt without a usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// The endpoint has not executed the request and will not.
    NotRun(balance::Failure, Arc<str>),
    /// The endpoint may have executed the request.
    Unknown(balance::Failure, Arc<str>),
}

impl AttemptError {
    /// Returns the label of the outcome in the metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::NotRun(..) => "not_run",
            Self::Unknown(failure, _) => (*failure).into(),
        }
    }
}

/// Returns the label of a complete answer in the metrics.
#[must_use]
pub fn answer_label(status: StatusCode) -> &'static str {
    if status.is_server_error() {
        balance::Failure::Answered.into()
    } else {
        "answered"
    }
}

/// Returns whether a status promises the caller that the request was not executed.
/// Without the endpoint's mark that it did not execute the request, the promise would be
/// unfounded.
#[must_use]
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun(failure, reason) => write!(f, "not run ({failure}: {reason})"),
            Self::Unknown(failure, reason) => write!(f, "outcome unknown ({failure}: {reason})"),
        }
    }
}

/// Sends the request to the chosen endpoint and waits up to `timeout` for the head of the
/// answer. Updates the call's record of attempts and tried endpoints.
pub async fn send(
    call: &mut call::Call,
    view: &direct::ServiceView,
    choice: balance::Choice,
    resume_after: Option<u64>,
    timeout: Duration,
) -> Result<Opened, AttemptError> {
    call.trace.chosen(&choice);
    let endpoint = Arc::clone(&choice.endpoint);
    let now = runtime::Moment::now();
    let permit = endpoint.live.begin(choice.reading, now);
    pace::report(&endpoint);
    if let Some(reading) = call.reading(call.model) {
        endpoint.live.record_prompt(&reading, now);
    }
    if !choice.delay.is_zero() {
        Timer::after(choice.delay).await;
    }
    let waiting = call.begin_waiting(view, &endpoint);
    call.begin_execution(view, &endpoint);
    let result = exchange(call, view, choice, permit, resume_after, timeout).await;
    if let Some(waiting) = waiting {
        waiting.end();
    }
    call.tried.push(endpoint.record.id.clone());
    match &result {
        Ok(_) => call.attempts += 1,
        Err(error) => {
            call.trace
                .attempt(&endpoint.record.id, error.label(), error);
            record_failure(call, view, &endpoint, error);
        }
    }
    result
}

fn record_failure(
    call: &mut call::Call,
    view: &direct::ServiceView,
    endpoint: &direct::EndpointView,
    error: &AttemptError,
) {
    match error {
        AttemptError::NotRun(failure, _) => {
            call.end_execution(&endpoint.record.id);
            call.refused_by.push(endpoint.record.id.clone());
            let cold = view.upstream.cold_duration();
            endpoint
                .live
                .record_failure(*failure, cold, runtime::Moment::now());
            pace::report(endpoint);
        }
        AttemptError::Unknown(failure, _) => {
            call.attempts += 1;
            call.record_failed_attempt(view, endpoint, *failure);
        }
    }
}

async fn exchange(
    call: &call::Call,
    view: &direct::ServiceView,
    choice: balance::Choice,
    permit: balance::Permit,
    resume_after: Option<u64>,
    timeout: Duration,
) -> Result<Opened, AttemptError> {
    let endpoint = choice.endpoint;
    let req = build_request(call, &endpoint, resume_after)?;
    let client = call.client(view, &endpoint);
    let sent = Instant::now();
    let answer = client.send(req, timeout);
    let answer = answer
        .or(until_unresponsive(call, &endpoint, &client))
        .await
        .map_err(|err| match err {
            http::HttpError::NotSent(reason) => {
                AttemptError::NotRun(balance::Failure::Unreachable, reason)
            }
            http::HttpError::TimedOut => AttemptError::Unknown(
                balance::Failure::Silent,
                format!("no answer in {} ms", sent.elapsed().as_millis()).into(),
            ),
            err => AttemptError::Unknown(balance::Failure::Broken, err.to_string().into()),
        })?;
    let metadata = platform::headers::decode_answer(answer.status, &answer.headers);
    let now = runtime::Moment::now();
    endpoint.live.record_activity(now);
    if let Some(load) = metadata.load {
        endpoint.live.record_load(load, now);
        if let Some(speed) = endpoint.live.speed() {
            let (stated, usual) = (speed.stated().factor(), speed.usual());
            observe::metrics().record_endpoint_speed(&endpoint.record.id, stated, usual);
        }
    }
    let broken = |reason: &str| AttemptError::Unknown(balance::Failure::Broken, reason.into());
    // Also a refusal must be the answer to this request: a faulty endpoint may repeat an
    // earlier one on a kept connection while it runs this request.
    if metadata.id.as_deref() != Some(&*call.id) {
        return Err(broken("answer to another request"));
    }
    if let Some(wish) = metadata.wish {
        record_wish(&endpoint, wish, now);
    }
    if metadata.not_run || answer.status == StatusCode::MISDIRECTED_REQUEST {
        let status = answer.status;
        let failure = if status == StatusCode::MISDIRECTED_REQUEST {
            balance::Failure::Misdirected
        } else {
            record_limit(call, &endpoint, metadata.limit);
            balance::Failure::Refused
        };
        // Read to the end only to keep the connection; the content is not used.
        let rest = answer.bytes(MAX_REFUSAL_BODY);
        let _ = runtime::timeout_at(Instant::now() + REFUSAL_TIMEOUT, rest).await;
        let reason = format!("status {status}").into();
        return Err(AttemptError::NotRun(failure, reason));
    }
    if !metadata.signed || metadata.encoded {
        return Err(broken("answer is not the endpoint's own"));
    }
    record_limit(call, &endpoint, metadata.limit);
    Ok(Opened {
        answer,
        metadata,
        endpoint,
        client,
        permit,
        sent,
        unread: choice.unread,
        reading: choice.reading,
    })
}

/// Records that the endpoint leaves or wants a pause, by one of its answers.
fn record_wish(endpoint: &direct::EndpointView, wish: balance::Wish, now: runtime::Moment) {
    let id = &endpoint.record.id;
    match wish {
        balance::Wish::Leave if endpoint.live.leave() => {
            log::info!(target: "endpoint", endpoint:% = id, source = "answer"; "endpoint is leaving");
            observe::metrics().record_endpoint_closed("leaving");
        }
        balance::Wish::Pause(pause) if endpoint.live.pause(pause, now) => {
            log::info!(target: "endpoint", endpoint:% = id, pause_ms = pause.as_millis();
                "endpoint is paused");
            observe::metrics().record_endpoint_closed("paused");
        }
        balance::Wish::Leave | balance::Wish::Pause(_) => {}
    }
    pace::report(endpoint);
}

/// Records the limit that an answer of the endpoint names; `None` if it names none.
fn record_limit(call: &call::Call, endpoint: &direct::EndpointView, limit: Option<units::Rate>) {
    if !endpoint.live.name_limit(limit) {
        return;
    }
    let id = &endpoint.record.id;
    let named = direct::Event::LimitNamed(id.clone());
    call.cx.control.send_or_drop(named);
    match limit {
        Some(limit) => {
            log::info!(target: "endpoint", endpoint:% = id, limit:% = limit, source = "answer";
                "endpoint names a limit for all entries");
        }
        None => {
            log::info!(target: "endpoint", endpoint:% = id, source = "answer";
                "endpoint names no limit any more");
        }
    }
    observe::metrics().record_named_limit(if limit.is_some() { "named" } else { "lifted" });
}

/// Returns an error once the endpoint is unresponsive to all requests of this entry.
/// Never returns on the last attempt, since no other endpoint may take over.
async fn until_unresponsive<T>(
    call: &call::Call,
    endpoint: &direct::EndpointView,
    client: &http::Client,
) -> Result<T, http::HttpError> {
    if call.is_last_attempt() {
        std::future::pending::<()>().await;
    }
    loop {
        Timer::after(SILENCE_CHECK_INTERVAL).await;
        if is_unresponsive(endpoint, client).await {
            return Err(http::HttpError::TimedOut);
        }
    }
}

/// Returns whether an endpoint that is silent for all requests of this entry is
/// unresponsive rather than busy. One request probes it on behalf of all.
pub async fn is_unresponsive(endpoint: &direct::EndpointView, client: &http::Client) -> bool {
    match endpoint.live.silence_action(runtime::Moment::now()) {
        balance::SilenceAction::None => return false,
        balance::SilenceAction::Unresponsive => return true,
        balance::SilenceAction::Probe => {}
    }
    let probed = if endpoint.is_engine {
        read_status(client).await.map(Some)
    } else {
        client.open_idle().await.map(|()| None)
    };
    let now = runtime::Moment::now();
    match probed {
        // An engine that reports its load is busy: it is reading prompts.
        Ok(Some(load)) => {
            endpoint.live.record_load(load, now);
            endpoint.live.record_activity(now);
            false
        }
        // A hung process accepts connections too.
        Ok(None) => {
            endpoint.live.record_reachable(now);
            false
        }
        Err(err) => {
            log::info!(target: "endpoint", endpoint:% = endpoint.record.id, error:% = err;
                "endpoint is unresponsive: it sends nothing and does not answer a probe");
            endpoint.live.record_unreachable();
            true
        }
    }
}

/// Requests the load of an engine.
async fn read_status(client: &http::Client) -> Result<balance::ReportedLoad, http::HttpError> {
    let req = platform::endpoint_status::request();
    let (_, body) = client.fetch(req, MAX_STATUS_BODY, STATUS_TIMEOUT).await?;
    platform::endpoint_status::decode(&body).map_err(|err| http::HttpError::Malformed(err.into()))
}

fn build_request(
    call: &call::Call,
    endpoint: &direct::EndpointView,
    resume_after: Option<u64>,
) -> Result<Request<Full<hyper::body::Bytes>>, AttemptError> {
    let rank = cascade::Cascade::queue_rank(call.model, call.priority, resume_after.is_some());
    let forward = gateway::ForwardMetadata {
        endpoint: endpoint.record.id.clone(),
        time_left: units::Millis::from(call.time_left()),
        team: call.team.clone(),
        model: call.chosen_model().cloned(),
        urgency: call.metadata.prompt.as_ref().map(|_| rank),
        resume_after,
    };
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.headers_mut() = platform::headers::encode_forward(&call.headers, &forward);
    *req.uri_mut() = call.target.parse().map_err(|err| {
        AttemptError::NotRun(balance::Failure::Refused, format!("target: {err}").into())
    })?;
    Ok(req)
}
