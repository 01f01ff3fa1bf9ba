//! One attempt at one endpoint.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::{Request, StatusCode};
use smol::Timer;
use smol::future::FutureExt;

use crate::balance;
use crate::cascade;
use crate::direct;
use crate::gateway;
use crate::gateway::call;
use crate::http;
use crate::platform;
use crate::runtime;
use crate::units;

/// Largest body of a refusal that is read so that its connection can be kept.
const REFUSAL_BODY: units::Bytes = units::Bytes(16 * 1_024);
/// Time to read it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which a request looks whether its endpoint has gone silent for
/// all requests.
pub const SILENCE_CHECK: Duration = Duration::from_millis(300);

/// An endpoint that has begun to answer.
#[derive(Debug)]
pub struct Opened {
    /// The answer; dropping it ends the work at the endpoint.
    pub answer: http::Answer,
    /// What its headers say.
    pub facts: gateway::AnswerFacts,
    /// The endpoint.
    pub endpoint: Arc<direct::EndpointView>,
    /// Its client.
    pub client: http::Client,
    /// Its place in the endpoint's count.
    pub permit: balance::Permit,
    /// When the request was sent.
    pub sent: Instant,
}

/// An attempt that brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// The request was not run at this endpoint, and will not be.
    NotRun(balance::Failure, Arc<str>),
    /// It may have run.
    Unknown(balance::Failure, Arc<str>),
}

impl Unanswered {
    /// Label in the metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::NotRun(..) => "not_run",
            Self::Unknown(failure, _) => (*failure).into(),
        }
    }
}

/// Label of a whole answer in the metrics.
#[must_use]
pub fn label(status: StatusCode) -> &'static str {
    if status.is_server_error() {
        balance::Failure::Answered.into()
    } else {
        "answered"
    }
}

/// Whether a status promises the caller that the request was not run. An
/// endpoint that has not marked its answer so does not mean that.
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

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun(failure, reason) => write!(f, "not run ({failure}: {reason})"),
            Self::Unknown(failure, reason) => write!(f, "outcome unknown ({failure}: {reason})"),
        }
    }
}

/// Sends the request to the chosen endpoint and waits up to `patience` for the head of
/// the answer. The call's record of runs and tried endpoints follows.
pub async fn send(
    call: &mut call::Call,
    view: &direct::ServiceView,
    choice: balance::Choice,
    resume_after: Option<u64>,
    patience: Duration,
) -> Result<Opened, Unanswered> {
    call.trace.chosen(&choice);
    let endpoint = choice.endpoint;
    let tokens = call
        .facts
        .prompt
        .as_ref()
        .map_or(units::Tokens(0), |prompt| prompt.input);
    let now = runtime::Moment::now();
    let permit = endpoint.live.begin(tokens, now);
    let result = exchange(
        call,
        view,
        Arc::clone(&endpoint),
        permit,
        resume_after,
        patience,
    )
    .await;
    call.tried.push(endpoint.record.id.clone());
    match &result {
        Ok(_) => call.runs += 1,
        Err(unanswered) => {
            call.trace
                .attempt(&endpoint.record.id, unanswered.label(), unanswered);
            fail(call, view, &endpoint, unanswered);
        }
    }
    result
}

fn fail(
    call: &mut call::Call,
    view: &direct::ServiceView,
    endpoint: &direct::EndpointView,
    unanswered: &Unanswered,
) {
    match unanswered {
        Unanswered::NotRun(failure, _) => {
            let cold = view.upstream.cold_span();
            endpoint.live.failed(*failure, cold, runtime::Moment::now());
        }
        Unanswered::Unknown(failure, _) => {
            call.runs += 1;
            call.run_failed(view, endpoint, *failure);
        }
    }
}

async fn exchange(
    call: &call::Call,
    view: &direct::ServiceView,
    endpoint: Arc<direct::EndpointView>,
    permit: balance::Permit,
    resume_after: Option<u64>,
    patience: Duration,
) -> Result<Opened, Unanswered> {
    let req = request(call, &endpoint, resume_after)?;
    let client = call.client(view, &endpoint);
    let sent = Instant::now();
    let answer = client.send(req, patience);
    let answer = answer
        .or(until_dark(call, &endpoint, &client))
        .await
        .map_err(|err| match err {
            http::HttpError::NotSent(reason) => {
                Unanswered::NotRun(balance::Failure::Unreachable, reason)
            }
            http::HttpError::TimedOut => Unanswered::Unknown(
                balance::Failure::Silent,
                format!("no answer in {} ms", sent.elapsed().as_millis()).into(),
            ),
            err => Unanswered::Unknown(balance::Failure::Broken, err.to_string().into()),
        })?;
    let facts = platform::headers::decode_answer(&answer.headers);
    let now = runtime::Moment::now();
    endpoint.live.heard(now);
    if let Some(load) = facts.load {
        endpoint.live.reported(load, now);
    }
    if facts.not_run || answer.status == StatusCode::MISDIRECTED_REQUEST {
        let status = answer.status;
        let failure = if status == StatusCode::MISDIRECTED_REQUEST {
            balance::Failure::Misdirected
        } else {
            balance::Failure::Refused
        };
        // Read to its end only to keep the connection; what it says does not matter.
        let rest = answer.bytes(REFUSAL_BODY);
        let _ = runtime::timeout_at(Instant::now() + REFUSAL_TIMEOUT, rest).await;
        let reason = format!("status {status}").into();
        return Err(Unanswered::NotRun(failure, reason));
    }
    let broken = |reason: &str| Unanswered::Unknown(balance::Failure::Broken, reason.into());
    if facts.id.as_deref() != Some(&*call.id) {
        return Err(broken("answer to another request"));
    }
    if !facts.signed || facts.encoded {
        return Err(broken("answer is not the endpoint's own"));
    }
    Ok(Opened {
        answer,
        facts,
        endpoint,
        client,
        permit,
        sent,
    })
}

/// Ends once the endpoint is silent for all requests of this entry and accepts
/// no connection; never for a request that could not be sent to another one.
async fn until_dark<T>(
    call: &call::Call,
    endpoint: &direct::EndpointView,
    client: &http::Client,
) -> Result<T, http::HttpError> {
    if call.is_last_run() {
        std::future::pending::<()>().await;
    }
    loop {
        Timer::after(SILENCE_CHECK).await;
        if is_dark(endpoint, client).await {
            return Err(http::HttpError::TimedOut);
        }
    }
}

/// Whether an endpoint that has been silent for all requests of this entry is
/// cut off or gone, and not busy. One request asks it for all.
pub async fn is_dark(endpoint: &direct::EndpointView, client: &http::Client) -> bool {
    match endpoint.live.silence(runtime::Moment::now()) {
        balance::Silence::None => false,
        balance::Silence::Dark => true,
        balance::Silence::Ask => match client.open_idle().await {
            Ok(()) => {
                endpoint.live.reached(runtime::Moment::now());
                false
            }
            Err(err) => {
                log::info!(target: "endpoint", endpoint:% = endpoint.record.id, error:% = err;
                    "silent, and accepts no connection");
                endpoint.live.lost();
                true
            }
        },
    }
}

fn request(
    call: &call::Call,
    endpoint: &direct::EndpointView,
    resume_after: Option<u64>,
) -> Result<Request<Full<hyper::body::Bytes>>, Unanswered> {
    let rank = cascade::Ladder::rank(call.model, call.priority, resume_after.is_some());
    let forward = gateway::Forward {
        endpoint: endpoint.record.id.clone(),
        time_left: units::Millis::from(call.time_left()),
        team: call.team.clone(),
        model: call.chosen_model().cloned(),
        urgency: call.facts.prompt.as_ref().map(|_| rank),
        resume_after,
    };
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.headers_mut() = platform::headers::encode_forward(&call.headers, &forward);
    *req.uri_mut() = call.target.parse().map_err(|err| {
        Unanswered::NotRun(balance::Failure::Refused, format!("target: {err}").into())
    })?;
    Ok(req)
}
