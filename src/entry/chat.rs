//! `POST /v1/chat/completions`.

use std::sync::Arc;
use std::time::Instant;

use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use smol::channel::{self, Sender};

use crate::control;
use crate::entry::{ask, bill, cascade, completion, cx, generation, input};
use crate::errors;
use crate::http;
use crate::ids;
use crate::observe;
use crate::session;
use crate::units;

/// Chunks that wait for a slow caller before generation pauses.
const STREAM_BUFFER: usize = 64;
/// The session token, in both directions.
const SESSION: &str = "x-quetzalworks-session";

/// Answers a chat completion.
pub async fn complete(
    cx: &cx::Shared,
    id: ids::RequestId,
    team: control::TeamView,
    req: Request<Incoming>,
) -> Result<http::Reply, errors::Refusal> {
    let ask = read_ask(cx, id, team, req).await?;
    let generation = generation::Generation::start(cx.clone(), ask).await?;
    if generation.ask().chat.stream {
        let headers = headers(cx, &generation, generation.version(), generation.vm());
        let mut reply = stream(cx, generation);
        reply.headers_mut().extend(headers);
        return Ok(reply);
    }
    whole(cx, generation).await
}

async fn read_ask(
    cx: &cx::Shared,
    id: ids::RequestId,
    team: control::TeamView,
    req: Request<Incoming>,
) -> Result<ask::Ask, errors::Refusal> {
    let permit = cx.admit(&team)?;
    let (head, body) = req.into_parts();
    let body = http::read_request_body(body, cx.cfg.limits).await?;
    let chat = ask::ChatRequest::parse(&body)?;
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
    let mut ask = ask::Ask::new(id, team.name, permit, profile.clone(), chat, task);
    if let Some(text) = input::header(&head.headers, "x-quetzalworks-deadline-ms") {
        let limit: units::Millis = input::parse(text, "x-quetzalworks-deadline-ms")?;
        ask.deadline = Instant::now() + limit.duration();
    }
    if let Some(text) = input::header(&head.headers, "x-quetzalworks-priority") {
        ask.priority = input::parse(text, "x-quetzalworks-priority")?;
    }
    if let Some(text) = input::header(&head.headers, SESSION) {
        let token = session::Token::open(text, &cx.session_key).map_err(|err| {
            errors::Refusal::new(errors::ResultCode::MalformedRequest, err.to_string())
        })?;
        ask.join(token)?;
    }
    Ok(ask)
}

fn headers(
    cx: &cx::Shared,
    generation: &generation::Generation,
    version: &ids::VersionName,
    vm: &ids::VmName,
) -> HeaderMap {
    let ask = generation.ask();
    let token = session::Token {
        team: ask.team.clone(),
        profile: ask.profile.name.clone(),
        version: version.clone(),
        vm: vm.clone(),
        made_at: bill::now(),
    };
    let mut headers = HeaderMap::new();
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    put("x-quetzalworks-version", version.to_string());
    put("x-quetzalworks-repeatable", "true".into());
    put(SESSION, token.seal(&cx.session_key));
    if let Some(moved) = generation.moved() {
        put("x-quetzalworks-session-moved", moved.to_string());
    }
    headers
}

async fn whole(
    cx: &cx::Shared,
    mut generation: generation::Generation,
) -> Result<http::Reply, errors::Refusal> {
    let answer = match cascade::answer(cx, &mut generation).await {
        Ok(answer) => answer,
        Err(refusal) => {
            end(cx, &mut generation, Some(&refusal));
            return Err(refusal);
        }
    };
    let (cost, usage) = generation.totals();
    end(cx, &mut generation, None);
    let completion = completion::Completion::new(generation.ask());
    let body = completion.whole(&answer.text, &answer.finish, usage);
    let mut reply = http::json(StatusCode::OK, &body);
    let headers = headers(cx, &generation, &answer.version, &answer.vm);
    reply.headers_mut().extend(headers);
    reply
        .headers_mut()
        .insert("x-quetzalworks-cost", HeaderValue::from(cost.0));
    Ok(reply)
}

/// Closes the bill and logs how the request has ended.
fn end(
    cx: &cx::Shared,
    generation: &mut generation::Generation,
    refusal: Option<&errors::Refusal>,
) {
    let (cost, usage) = generation.totals();
    generation.close(refusal.map(|refusal| refusal.code));
    let id = generation.ask().id;
    let Some(refusal) = refusal else {
        observe::metrics().ended(None, generation.ask().arrived.elapsed());
        log::info!(
            "route: request {id} answered, {} generated, cost {cost}.",
            usage.output
        );
        return;
    };
    log::warn!("route: request {id} ended: {refusal}.");
    if generation.has_failed() {
        cascade::offer(cx, generation, None);
    }
}

fn stream(cx: &cx::Shared, generation: generation::Generation) -> http::Reply {
    let (tx, rx) = channel::bounded(STREAM_BUFFER);
    cx.traffic
        .spawn(send_events(Arc::clone(cx), generation, tx))
        .detach();
    http::streamed(StatusCode::OK, "text/event-stream", rx)
}

/// Sends the answer's events; ends early where the caller has gone, which
/// drops the generation and cancels the work.
async fn send_events(cx: cx::Shared, mut generation: generation::Generation, tx: Sender<Bytes>) {
    let completion = completion::Completion::new(generation.ask());
    let include_usage = generation.ask().chat.include_usage;
    if tx.send(completion.first()).await.is_err() {
        return;
    }
    loop {
        let (event, last) = match generation.next().await {
            Ok(generation::Step::Text(text)) => (completion.text(&text), false),
            Ok(generation::Step::End(finish)) => {
                let usage = generation.totals().1;
                end(&cx, &mut generation, None);
                cascade::offer(&cx, &generation, Some(generation.text().into()));
                let event = completion.end(&finish, include_usage.then_some(usage));
                (event, true)
            }
            Err(refusal) => {
                let elapsed = generation.ask().arrived.elapsed();
                observe::metrics().ended(Some(refusal.code), elapsed);
                end(&cx, &mut generation, Some(&refusal));
                (completion::Completion::error(&refusal), true)
            }
        };
        if tx.send(event).await.is_err() {
            log::info!(
                "route: request {} cancelled by its caller.",
                generation.ask().id
            );
            return;
        }
        if last {
            return;
        }
    }
}

/// The response to a refused model request.
#[must_use]
pub fn refused(refusal: &errors::Refusal) -> http::Reply {
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
