//! Handler of `POST /v1/chat/completions`.

use std::sync::Arc;
use std::time::Instant;

use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use smol::channel::{self, Sender};

use crate::control;
use crate::entry::{bill, cascade, completion, cx, generation, input, model_request};
use crate::errors;
use crate::http;
use crate::ids;
use crate::observe;
use crate::session;
use crate::units;

/// Maximum number of events buffered for a slow caller before generation pauses.
const STREAM_BUFFER_EVENTS: usize = 64;
/// Header with the session token, in requests and responses.
const SESSION_HEADER: &str = "x-quetzalworks-session";

/// Handles a chat completion request.
pub async fn complete(
    cx: &cx::Shared,
    id: ids::RequestId,
    team: control::TeamView,
    req: Request<Incoming>,
) -> Result<http::Reply, errors::Refusal> {
    let request = read_request(cx, id, team, req).await?;
    let generation = generation::Generation::start(cx.clone(), request).await?;
    if generation.request().chat.stream {
        let headers = response_headers(cx, &generation, generation.version(), generation.vm());
        let mut reply = respond_streamed(cx, generation);
        reply.headers_mut().extend(headers);
        return Ok(reply);
    }
    respond_complete(cx, generation).await
}

async fn read_request(
    cx: &cx::Shared,
    id: ids::RequestId,
    team: control::TeamView,
    req: Request<Incoming>,
) -> Result<model_request::ModelRequest, errors::Refusal> {
    cx.check_admission(&team)?;
    let (head, body) = req.into_parts();
    let body = http::read_request_body(body, &head.extensions, cx.cfg.limits).await?;
    let permit = cx.admit(&team)?;
    let chat = model_request::ChatRequest::parse(&body)?;
    let snapshot = cx.control.snapshot();
    let profile = snapshot.profiles.get(&chat.profile).ok_or_else(|| {
        errors::Refusal::new(
            errors::ResultCode::UnknownProfile,
            format!("no profile {}", chat.profile),
        )
    })?;
    if !profile.profile.teams.contains(&team.name) {
        return Err(errors::Refusal::new(
            errors::ResultCode::NotAllowed,
            format!("the team may not use profile {}", chat.profile),
        ));
    }
    let task = input::header(&head.headers, "x-quetzalworks-task");
    let mut request =
        model_request::ModelRequest::new(id, team.name, permit, profile.clone(), chat, task);
    if let Some(text) = input::header(&head.headers, "x-quetzalworks-deadline-ms") {
        let limit: units::Millis = input::parse_header(text, "x-quetzalworks-deadline-ms")?;
        request.deadline = Instant::now() + limit.duration();
    }
    if let Some(text) = input::header(&head.headers, "x-quetzalworks-priority") {
        request.priority = input::parse_header(text, "x-quetzalworks-priority")?;
    }
    if let Some(text) = input::header(&head.headers, SESSION_HEADER) {
        let token = session::Token::open(text, &cx.session_key).map_err(|err| {
            errors::Refusal::new(errors::ResultCode::MalformedRequest, err.to_string())
        })?;
        request.join_session(token)?;
    }
    Ok(request)
}

fn response_headers(
    cx: &cx::Shared,
    generation: &generation::Generation,
    version: &ids::VersionName,
    vm: &ids::VmName,
) -> HeaderMap {
    let request = generation.request();
    let token = session::Token {
        team: request.team.clone(),
        profile: request.profile.name.clone(),
        version: version.clone(),
        vm: vm.clone(),
        made_at: bill::unix_now(),
    };
    let mut headers = HeaderMap::new();
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    put("x-quetzalworks-version", version.to_string());
    put("x-quetzalworks-repeatable", "true".into());
    put(SESSION_HEADER, token.seal(&cx.session_key));
    if let Some(moved) = generation.moved() {
        put("x-quetzalworks-session-moved", moved.to_string());
    }
    headers
}

async fn respond_complete(
    cx: &cx::Shared,
    mut generation: generation::Generation,
) -> Result<http::Reply, errors::Refusal> {
    let answer = match cascade::answer(cx, &mut generation).await {
        Ok(answer) => answer,
        Err(refusal) => {
            finish_request(cx, &mut generation, Some(&refusal));
            return Err(refusal);
        }
    };
    let (cost, usage) = generation.totals();
    finish_request(cx, &mut generation, None);
    let completion = completion::Completion::new(generation.request());
    let body = completion.complete(&answer.text, &answer.finish, usage);
    let mut reply = http::json(StatusCode::OK, &body);
    let headers = response_headers(cx, &generation, &answer.version, &answer.vm);
    reply.headers_mut().extend(headers);
    reply
        .headers_mut()
        .insert("x-quetzalworks-cost", HeaderValue::from(cost.0));
    Ok(reply)
}

/// Closes the bill and logs how the request ended. A failure of the version counts
/// as a rating of it.
fn finish_request(
    cx: &cx::Shared,
    generation: &mut generation::Generation,
    refusal: Option<&errors::Refusal>,
) {
    let (cost, usage) = generation.totals();
    generation.close(refusal.map(|refusal| refusal.code));
    let id = generation.request().id;
    let Some(refusal) = refusal else {
        observe::metrics().record_end(None, generation.request().arrived.elapsed());
        log::info!(
            "route: request {id} answered, {} generated, cost {cost}.",
            usage.output
        );
        return;
    };
    log::warn!("route: request {id} failed: {refusal}.");
    if generation.has_engine_failed() {
        cascade::submit_sample(cx, generation, None);
    }
}

fn respond_streamed(cx: &cx::Shared, generation: generation::Generation) -> http::Reply {
    let (tx, rx) = channel::bounded(STREAM_BUFFER_EVENTS);
    cx.traffic
        .spawn(send_events(Arc::clone(cx), generation, tx))
        .detach();
    http::streamed(StatusCode::OK, "text/event-stream", rx)
}

/// Sends the events of the answer. Returns early if the caller has disconnected, which
/// drops the generation and cancels the work at the endpoint.
async fn send_events(cx: cx::Shared, mut generation: generation::Generation, tx: Sender<Bytes>) {
    let completion = completion::Completion::new(generation.request());
    let include_usage = generation.request().chat.include_usage;
    if tx.send(completion.first()).await.is_err() {
        return;
    }
    loop {
        let (event, last) = match generation.next_part().await {
            Ok(generation::AnswerPart::Text(text)) => (completion.text_event(&text), false),
            Ok(generation::AnswerPart::End(finish)) => {
                let usage = generation.totals().1;
                finish_request(&cx, &mut generation, None);
                cascade::submit_sample(&cx, &generation, Some(generation.text().into()));
                let event = completion.end_events(&finish, include_usage.then_some(usage));
                (event, true)
            }
            Err(refusal) => {
                let elapsed = generation.request().arrived.elapsed();
                observe::metrics().record_end(Some(refusal.code), elapsed);
                finish_request(&cx, &mut generation, Some(&refusal));
                (completion::Completion::error_event(&refusal), true)
            }
        };
        if tx.send(event).await.is_err() {
            log::info!(
                "route: request {} cancelled by its caller.",
                generation.request().id
            );
            return;
        }
        if last {
            return;
        }
    }
}

/// Builds the response to a refused model request.
#[must_use]
pub fn error_response(refusal: &errors::Refusal) -> http::Reply {
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = http::json(status, &completion::error_body(refusal));
    if let Some(delay) = refusal.retry_after {
        reply.headers_mut().insert(
            hyper::header::RETRY_AFTER,
            HeaderValue::from(delay.0.div_ceil(1_000)),
        );
    }
    reply
}
