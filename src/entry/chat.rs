//! `POST /v1/chat/completions`.

use std::time::Instant;

use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use smol::channel::{self, Sender};

use crate::control;
use crate::entry::ask;
use crate::entry::completion;
use crate::entry::cx;
use crate::entry::generation;
use crate::errors;
use crate::http;
use crate::observe;
use crate::runtime;
use crate::units;

/// Chunks that wait for a slow caller before generation pauses.
const STREAM_BUFFER: usize = 64;

/// Answers a chat completion.
pub async fn complete(
    cx: &cx::Shared,
    team: control::TeamView,
    req: Request<Incoming>,
) -> Result<http::Reply, errors::Refusal> {
    let arrived = Instant::now();
    let ask = read_ask(cx, team, req).await?;
    let generation = generation::Generation::start(cx.clone(), ask).await?;
    let headers = headers(&generation);
    let mut reply = if generation.ask().chat.stream {
        stream(cx, generation, arrived)
    } else {
        whole(generation, arrived).await?
    };
    reply.headers_mut().extend(headers);
    Ok(reply)
}

async fn read_ask(
    cx: &cx::Shared,
    team: control::TeamView,
    req: Request<Incoming>,
) -> Result<ask::Ask, errors::Refusal> {
    let (head, body) = req.into_parts();
    let limits = cx.cfg.limits;
    let deadline = Instant::now() + limits.send_timeout_ms.duration();
    let body = match runtime::timeout_at(deadline, http::read_body(body, limits.body_bytes)).await {
        Some(Ok(body)) => body,
        Some(Err(http::HttpError::TooLarge)) => {
            return Err(errors::Refusal::new(
                errors::ResultCode::BodyTooLarge,
                format!("the body is over {}", limits.body_bytes),
            ));
        }
        Some(Err(err)) => {
            return Err(errors::Refusal::new(
                errors::ResultCode::MalformedRequest,
                err.to_string(),
            ));
        }
        None => {
            return Err(errors::Refusal::new(
                errors::ResultCode::SlowRequest,
                "the body was not sent in time",
            ));
        }
    };
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
    let task = text_header(&head.headers, "x-quetzalworks-task");
    let mut ask = ask::Ask::new(team.name, profile.clone(), chat, task);
    if let Some(text) = text_header(&head.headers, "x-quetzalworks-deadline-ms") {
        let limit: units::Millis = parse(text, "x-quetzalworks-deadline-ms")?;
        ask.deadline = Instant::now() + limit.duration();
    }
    if let Some(text) = text_header(&head.headers, "x-quetzalworks-priority") {
        ask.priority = parse(text, "x-quetzalworks-priority")?;
    }
    Ok(ask)
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn parse<T: std::str::FromStr>(text: &str, header: &str) -> Result<T, errors::Refusal>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|err| {
        errors::Refusal::new(
            errors::ResultCode::MalformedRequest,
            format!("{header}: {err}"),
        )
    })
}

fn headers(generation: &generation::Generation) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    put("x-quetzalworks-request-id", generation.ask().id.to_string());
    put("x-quetzalworks-version", generation.version().to_string());
    put("x-quetzalworks-repeatable", "true".into());
    headers
}

async fn whole(
    mut generation: generation::Generation,
    arrived: Instant,
) -> Result<http::Reply, errors::Refusal> {
    let completion = completion::Completion::new(generation.ask());
    let mut text = String::new();
    loop {
        match generation.next().await? {
            generation::Step::Text(part) => {
                if text.is_empty() {
                    observe::metrics().first_token(arrived.elapsed());
                }
                text.push_str(&part);
            }
            generation::Step::End { finish, usage } => {
                observe::metrics().ended(None, arrived.elapsed());
                log::info!(
                    "route: request {} answered, {} generated.",
                    generation.ask().id,
                    usage.output
                );
                return Ok(http::json(
                    StatusCode::OK,
                    &completion.whole(&text, &finish, usage),
                ));
            }
        }
    }
}

fn stream(cx: &cx::Shared, generation: generation::Generation, arrived: Instant) -> http::Reply {
    let (tx, rx) = channel::bounded(STREAM_BUFFER);
    cx.traffic
        .spawn(send_events(generation, tx, arrived))
        .detach();
    http::streamed(StatusCode::OK, "text/event-stream", rx)
}

/// Sends the answer's events; ends early where the caller has gone, which
/// drops the generation and cancels the work.
async fn send_events(mut generation: generation::Generation, tx: Sender<Bytes>, arrived: Instant) {
    let mut begun = false;
    let completion = completion::Completion::new(generation.ask());
    let include_usage = generation.ask().chat.include_usage;
    if tx.send(completion.first()).await.is_err() {
        return;
    }
    loop {
        let (event, last) = match generation.next().await {
            Ok(generation::Step::Text(text)) => {
                if !std::mem::replace(&mut begun, true) {
                    observe::metrics().first_token(arrived.elapsed());
                }
                (completion.text(&text), false)
            }
            Ok(generation::Step::End { finish, usage }) => {
                observe::metrics().ended(None, arrived.elapsed());
                log::info!(
                    "route: request {} answered, {} generated.",
                    generation.ask().id,
                    usage.output
                );
                (
                    completion.end(&finish, include_usage.then_some(usage)),
                    true,
                )
            }
            Err(refusal) => {
                observe::metrics().ended(Some(refusal.code), arrived.elapsed());
                log::warn!("route: request {} ended: {refusal}.", generation.ask().id);
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
