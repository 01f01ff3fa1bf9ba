//! Handler of `/v1/services/<service>/<path>`.

use std::sync::Arc;
use std::time::Instant;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, StatusCode};
use serde_json::json;
use smol::channel;

use crate::attempt;
use crate::calls;
use crate::catalog;
use crate::control;
use crate::entry;
use crate::entry::{at_most_once, cx, input, service_dispatcher};
use crate::errors;
use crate::http;
use crate::ids;
use crate::units;

/// Prefix of the paths of plain services.
pub const PATH_PREFIX: &str = "/v1/services/";

/// Handles a call to a plain service.
pub async fn handle(
    cx: &cx::Shared,
    id: ids::RequestId,
    team: control::TeamView,
    req: Request<Incoming>,
) -> Result<http::Reply, errors::Refusal> {
    let request = read_request(cx, id, team, req).await?;
    let repeatable = request.key.is_none();
    let answer = execute(cx, request).await?;
    let mut reply = to_reply(answer);
    let repeatable = HeaderValue::from_static(if repeatable { "true" } else { "false" });
    reply
        .headers_mut()
        .insert("x-quetzalworks-repeatable", repeatable);
    Ok(reply)
}

/// Executes the call. A non-idempotent call runs in a task of its own, so that its
/// outcome is recorded even if the caller disconnects.
async fn execute(
    cx: &cx::Shared,
    request: entry::ServiceRequest,
) -> Result<attempt::ServiceAnswer, errors::Refusal> {
    let Some(key) = request.key.clone() else {
        let mut dispatcher = service_dispatcher::ServiceDispatcher::new(cx.clone(), request);
        let result = dispatcher.run_idempotent().await;
        dispatcher
            .bill
            .close(result.as_ref().err().map(|refusal| refusal.code));
        return result;
    };
    let mut dispatcher = service_dispatcher::ServiceDispatcher::new(cx.clone(), request);
    let (tx, rx) = channel::bounded(1);
    let task = async move {
        let result = at_most_once::execute(&mut dispatcher, &key).await;
        dispatcher
            .bill
            .close(result.as_ref().err().map(|refusal| refusal.code));
        let _ = tx.send(result).await;
    };
    cx.traffic.spawn(task).detach();
    rx.recv().await.unwrap_or_else(|_| {
        Err(errors::Refusal::new(
            errors::ResultCode::OutcomeUnknown,
            "the call's task has ended",
        ))
    })
}

async fn read_request(
    cx: &cx::Shared,
    id: ids::RequestId,
    team: control::TeamView,
    req: Request<Incoming>,
) -> Result<entry::ServiceRequest, errors::Refusal> {
    let (name, path) = split_target(req.uri())?;
    let snapshot = cx.control.snapshot();
    let service = snapshot.services.get(&name).ok_or_else(|| {
        errors::Refusal::new(
            errors::ResultCode::UnknownService,
            format!("no service {name}"),
        )
    })?;
    if !service.teams.contains(&team.name) {
        return Err(errors::Refusal::new(
            errors::ResultCode::NotAllowed,
            format!("the team may not call service {name}"),
        ));
    }
    cx.check_admission(&team)?;
    let (head, body) = req.into_parts();
    let method: Arc<str> = head.method.as_str().into();
    let key = idempotency_key(service, &method, &head.headers)?;
    let limit = input::header(&head.headers, "x-quetzalworks-deadline-ms")
        .map(|text| input::parse_header::<units::Millis>(text, "x-quetzalworks-deadline-ms"))
        .transpose()?;
    let priority = input::header(&head.headers, "x-quetzalworks-priority")
        .map(|text| input::parse_header(text, "x-quetzalworks-priority"))
        .transpose()?;
    let body = http::read_request_body(body, &head.extensions, cx.cfg.limits).await?;
    let permit = cx.admit(&team)?;
    Ok(entry::ServiceRequest {
        id,
        team: team.name,
        method,
        path,
        content_type: input::header(&head.headers, CONTENT_TYPE.as_str()).map(Arc::from),
        body: body.to_vec(),
        key,
        deadline: Instant::now() + limit.unwrap_or(service.deadline_ms).duration(),
        priority: priority.unwrap_or_default(),
        permit,
        service: name,
    })
}

/// Splits a request target into the service name, and the path and query at the service.
fn split_target(uri: &hyper::Uri) -> Result<(ids::ServiceName, Arc<str>), errors::Refusal> {
    let full_path = uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = full_path.strip_prefix(PATH_PREFIX).unwrap_or_default();
    let split = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(split);
    let name = name.parse().map_err(|err| {
        errors::Refusal::new(errors::ResultCode::UnknownService, format!("{err}"))
    })?;
    let path = if path.starts_with('/') {
        path.into()
    } else {
        format!("/{path}").into()
    };
    Ok((name, path))
}

/// Returns the idempotency key of a call that must run at most once, or `None` for an
/// idempotent method. A missing or invalid key is refused.
fn idempotency_key(
    service: &catalog::Service,
    method: &str,
    headers: &hyper::HeaderMap,
) -> Result<Option<calls::Key>, errors::Refusal> {
    if service.is_idempotent(method) {
        return Ok(None);
    }
    let text = input::header(headers, "idempotency-key").ok_or_else(|| {
        errors::Refusal::new(
            errors::ResultCode::KeyMissing,
            format!("{method} needs an Idempotency-Key"),
        )
    })?;
    let key = input::parse_header(text, "Idempotency-Key")?;
    at_most_once::check_key(&key, service.undated_keys)?;
    Ok(Some(key))
}

fn to_reply(answer: attempt::ServiceAnswer) -> http::Reply {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut reply = http::full(status, "application/octet-stream", answer.body);
    match answer.content_type.map(|text| HeaderValue::from_str(&text)) {
        Some(Ok(value)) => reply.headers_mut().insert(CONTENT_TYPE, value),
        _ => reply.headers_mut().remove(CONTENT_TYPE),
    };
    reply
}

/// Builds the response to a refused call.
#[must_use]
pub fn error_response(refusal: &errors::Refusal) -> http::Reply {
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = json!({
        "type": format!("urn:quetzalworks:result:{}", refusal.code.number()),
        "title": refusal.code.to_string(),
        "status": status.as_u16(),
        "detail": &*refusal.message,
        "code": refusal.code.number(),
        "not_run": refusal.code.is_not_run(),
    });
    let mut reply = http::full(status, "application/problem+json", body.to_string());
    if let Some(delay) = refusal.retry_after {
        let seconds = HeaderValue::from(delay.0.div_ceil(1_000));
        reply.headers_mut().insert(RETRY_AFTER, seconds);
    }
    reply
}
