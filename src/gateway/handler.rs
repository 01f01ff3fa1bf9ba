//! Handler of callers' requests: admission, reading of the body, start of the call.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::Extensions;
use hyper::{HeaderMap, Request};
use smol::Timer;

use crate::catalog;
use crate::direct;
use crate::errors;
use crate::gateway;
use crate::gateway::{admit, call, outcomes, plain, refuse, stream, trace};
use crate::http;
use crate::ids;
use crate::observe;
use crate::platform;
use crate::poison;
use crate::route;
use crate::runtime;
use crate::units;

/// Time limit for a request's body, where the deadline of the request is not earlier.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without progress after which a body is given up; several retransmissions of a lost
/// packet take less.
const BODY_STALL: Duration = Duration::from_secs(5);

/// Earliest `Retry-After` for a request whose body does not fit into memory now.
const BODY_RETRY_AFTER: units::Millis = units::Millis(300);

/// `Retry-After` for a request that has crashed endpoints: about as long as its crashes
/// are remembered.
const SUSPECT_RETRY_AFTER: units::Millis = units::Millis(30_000);

/// Maximum wait of a request for the first usable snapshot: an eighth of a latency
/// objective of 1.5 s, up to which a refusal is not late.
const STARTUP_WAIT: Duration = Duration::from_millis(180);
/// Interval at which a waiting request checks for a usable snapshot.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Handler of the listener for callers.
#[derive(Debug)]
pub struct CallerHandler(pub Arc<gateway::Cx>);

impl http::Handler for CallerHandler {
    fn unfinished(&self) -> http::Reply {
        log::warn!(target: "process", "a request was ended by the end of the planned stop");
        refuse::reply(&errors::Refusal::new(
            errors::ResultCode::OutcomeUnknown,
            "the process stops, whether the request has run is not known",
        ))
    }

    fn overloaded(&self) -> http::Reply {
        let mut trace = trace::Trace::begin("-".into());
        let code = errors::ResultCode::Overloaded;
        let refusal = errors::Refusal::new(code, "there is no memory for the request now");
        let after = self.0.book_return(BODY_RETRY_AFTER, BODY_TIMEOUT);
        refuse::refuse(&mut trace, &refusal.with_retry_after(after))
    }

    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        // Boxed, so that an idle connection does not hold memory for the future.
        let mut reply = Box::pin(self.answer(req)).await;
        // A caller stays with its entry while the connection is open, so the reply closes
        // it.
        if self.0.readiness(runtime::Moment::now()).is_err() {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
        }
        reply
    }
}

impl CallerHandler {
    async fn answer(&self, req: Request<Incoming>) -> http::Reply {
        let arrived = Instant::now();
        let now = runtime::Moment::now();
        let metadata = platform::headers::decode_request(req.headers());
        let id = metadata.id.clone().unwrap_or_else(|| "-".into());
        let mut trace = trace::Trace::begin(Arc::clone(&id));
        self.0.record_arrival(now);
        let snapshot = self.wait_for_snapshot().await;
        let admitted = match self.admit(&req, &snapshot, &metadata, now, &mut trace) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                let refusal = self.spread_return(refusal, &metadata);
                return refuse::refuse(&mut trace, &refusal);
            }
        };
        note_admission(&mut trace, &admitted);
        if let Some(session) = metadata.session {
            trace.note("session", &session);
        }
        let Some(service) = admitted
            .rule
            .service_for(route::mix(ids::Fingerprint::fnv1a(&id).0))
            .cloned()
        else {
            let code = errors::ResultCode::NoEndpoint;
            return refuse::refuse(
                &mut trace,
                &errors::Refusal::new(code, "route without service"),
            );
        };
        self.0.count_request(&service, now);
        let timeout = admitted.rule.timeout;
        let time_limit = metadata
            .deadline
            .map_or(timeout, |deadline| deadline.min(timeout));
        let deadline = arrived + time_limit.duration();
        let (head, body) = req.into_parts();
        let body = match self
            .read_body(
                body,
                &head.extensions,
                &admitted.deployment.limits,
                deadline,
            )
            .await
        {
            Ok(body) => body,
            Err(refusal) => return refuse::refuse(&mut trace, &refusal),
        };
        // The body may have taken long.
        if let Err(refusal) = admit::check_stopping(&self.0, runtime::Moment::now()) {
            return refuse::refuse(&mut trace, &refusal);
        }
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let mut call = call::Call {
            cx: Arc::clone(&self.0),
            id,
            method: head.method,
            target: target.into(),
            headers: head.headers,
            body,
            metadata,
            service,
            team: admitted.team,
            priority: admitted.priority,
            regions: admitted.regions,
            arrived,
            deadline,
            tried: Vec::new(),
            refused_by: Vec::new(),
            refusals: 0,
            attempts: 0,
            model: 0,
            running: Vec::new(),
            visit: poison::VisitHandle::default(),
            outcomes: outcomes::Outcomes::default(),
            trace,
            rule: admitted.rule,
        };
        if let Some((subject, fingerprint)) = call.refused_suspect() {
            let code = errors::ResultCode::CrashSuspect;
            let reason = match subject {
                poison::Subject::Request => "the request has crashed several endpoints",
                poison::Subject::PromptPart => "a part of the prompt has crashed several endpoints",
            };
            let refusal = errors::Refusal::new(code, reason);
            call.record_refused_suspect(subject, fingerprint);
            return refuse::refuse(
                &mut call.trace,
                &refusal.with_retry_after(SUSPECT_RETRY_AFTER),
            );
        }
        if call.rule.kind.is_stream() {
            stream::run(call).await
        } else {
            plain::run(call).await
        }
    }

    async fn read_body(
        &self,
        body: Incoming,
        extensions: &Extensions,
        limits: &catalog::CallerLimits,
        deadline: Instant,
    ) -> Result<hyper::body::Bytes, errors::Refusal> {
        if body.is_end_stream() {
            return Ok(hyper::body::Bytes::new());
        }
        let body_deadline = deadline.min(Instant::now() + BODY_TIMEOUT);
        let read = http::receive_body(body, extensions, limits.body, BODY_STALL);
        let (code, reason) = match runtime::timeout_at(body_deadline, read).await {
            Some(Ok(body)) => return Ok(body),
            Some(Err(http::HttpError::TooLarge)) => {
                (errors::ResultCode::BodyTooLarge, "the body is too large")
            }
            Some(Err(http::HttpError::OverBudget)) => {
                let code = errors::ResultCode::Overloaded;
                let refusal = errors::Refusal::new(code, "there is no memory for the body now");
                let time_left = deadline.saturating_duration_since(Instant::now());
                let after = self.0.book_return(BODY_RETRY_AFTER, time_left);
                return Err(refusal.with_retry_after(after));
            }
            Some(Err(http::HttpError::TimedOut)) | None => (
                errors::ResultCode::SlowRequest,
                "the body was not sent in time",
            ),
            Some(Err(_)) => (errors::ResultCode::MalformedRequest, "the body broke off"),
        };
        Err(errors::Refusal::new(code, reason).with_retry_after(units::Millis(0)))
    }

    /// Moves the time at which the caller of a refused request should return apart from
    /// those of other refused callers.
    fn spread_return(
        &self,
        refusal: errors::Refusal,
        metadata: &gateway::RequestMetadata,
    ) -> errors::Refusal {
        let Some(earliest) = refusal.retry_after else {
            return refusal;
        };
        let time_left = metadata
            .deadline
            .map_or(BODY_TIMEOUT, units::Millis::duration);
        refusal.with_retry_after(self.0.book_return(earliest, time_left))
    }

    /// Returns the current snapshot. While it cannot serve requests, as right after the
    /// start of the process, waits up to [`STARTUP_WAIT`] for one that can.
    async fn wait_for_snapshot(&self) -> Arc<direct::Snapshot> {
        let wait_until = Instant::now() + STARTUP_WAIT;
        loop {
            let snapshot = self.0.control.snapshot();
            if snapshot.can_serve() || Instant::now() >= wait_until {
                return snapshot;
            }
            Timer::after(STARTUP_POLL_INTERVAL).await;
        }
    }

    fn admit(
        &self,
        req: &Request<Incoming>,
        snapshot: &direct::Snapshot,
        metadata: &gateway::RequestMetadata,
        now: runtime::Moment,
        trace: &mut trace::Trace,
    ) -> Result<admit::Admitted, errors::Refusal> {
        admit::check_stopping(&self.0, now)?;
        let (config, key) = (snapshot.config(now), metadata.key.as_ref());
        note_config(trace, &config, key);
        let revoke = self.0.settings().bounds.revoke;
        let admitted = admit::admit(&config, revoke, host(req), req.uri().path(), key)?;
        if let (Some(_), Some(age)) = (&admitted.team, config.age) {
            observe::metrics().record_config_age(age);
        }
        let limits = &admitted.deployment.limits;
        if head_size(req.headers()) > limits.head.as_usize() {
            let code = errors::ResultCode::HeadersTooLarge;
            return Err(errors::Refusal::new(code, "the head is too large"));
        }
        if req.body().size_hint().lower() > limits.body.0 {
            let code = errors::ResultCode::BodyTooLarge;
            return Err(errors::Refusal::new(code, "the stated body is too large"));
        }
        if metadata.id.is_none() {
            let code = errors::ResultCode::MalformedRequest;
            return Err(errors::Refusal::new(code, "the request has no id"));
        }
        Ok(admitted)
    }
}

/// Returns the requested host without its port.
fn host(req: &Request<Incoming>) -> &str {
    let stated = req.headers().get(HOST).and_then(|host| host.to_str().ok());
    let host = req.uri().host().or(stated).unwrap_or_default();
    host.split_once(':').map_or(host, |(host, _)| host)
}

fn head_size(headers: &HeaderMap) -> usize {
    /// Bytes of a header line beside name and value: colon, space and line end.
    const SEPARATOR_BYTES: usize = 4;
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES)
        .sum()
}

/// Notes by which configuration, read up to which offset and proven how long ago, the request
/// is admitted or refused.
fn note_config(
    trace: &mut trace::Trace,
    config: &direct::KnownConfig<'_>,
    key: Option<&catalog::ApiKey>,
) {
    if let Some(deployment) = config.deployment {
        trace.note("config", &deployment.revision);
    }
    if let Some(end) = config.end {
        trace.note("config_era", &end.era);
        trace.note("config_offset", &end.offset);
    }
    if let Some(age) = config.age {
        trace.note("config_age_ms", &age.as_millis());
    }
    if let Some(key) = key {
        trace.note("key", &key.label());
    }
}

fn note_admission(trace: &mut trace::Trace, admitted: &admit::Admitted) {
    trace.route(&admitted.rule.name);
    if let Some(team) = &admitted.team {
        trace.note("team", team);
    }
    trace.note("priority", &admitted.priority);
    if admitted.regions.is_limited() {
        trace.note("regions", &admitted.regions);
    }
}
