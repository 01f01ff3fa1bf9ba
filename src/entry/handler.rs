//! Paths of the HTTP API for callers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde_json::json;

use crate::admin;
use crate::control;
use crate::entry::{chat, cx, input, service};
use crate::errors;
use crate::http;
use crate::ids;
use crate::observe;
use crate::units;

/// HTTP handler of the API for callers, which also serves the operators' paths.
#[derive(Debug)]
pub struct CallerApi {
    cx: cx::Shared,
    admin: Arc<admin::AdminApi>,
}

impl CallerApi {
    /// Creates a handler that serves callers from `cx` and operators from `admin`.
    #[must_use]
    pub const fn new(cx: cx::Shared, admin: Arc<admin::AdminApi>) -> Self {
        Self { cx, admin }
    }

    async fn answer(
        &self,
        id: ids::RequestId,
        req: Request<Incoming>,
    ) -> Result<http::Reply, errors::Refusal> {
        check_head(&req, self.cx.cfg.limits.head_bytes)?;
        if req.uri().path().starts_with(admin::PREFIX) {
            return Ok(self.admin.handle(req).await);
        }
        if req.uri().path().starts_with(service::PATH_PREFIX) {
            let team = self.authenticate(&req)?;
            return service::handle(&self.cx, id, team, req).await;
        }
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => {
                let team = self.authenticate(&req)?;
                chat::complete(&self.cx, id, team, req).await
            }
            (&Method::GET, "/v1/models") => {
                let team = self.authenticate(&req)?;
                Ok(self.list_models(&team))
            }
            (method, path) => Err(errors::Refusal::new(
                errors::ResultCode::UnknownPath,
                format!("no resource {method} {path}"),
            )),
        }
    }

    fn authenticate(&self, req: &Request<Incoming>) -> Result<control::TeamView, errors::Refusal> {
        let snapshot = self.cx.control.snapshot();
        if !snapshot.is_serving() {
            return Err(errors::Refusal::new(
                errors::ResultCode::NotReady,
                format!("the process is {}", snapshot.phase),
            ));
        }
        let token = req
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or_else(|| {
                errors::Refusal::new(errors::ResultCode::Unauthorized, "a bearer token is needed")
            })?;
        let team = snapshot
            .teams
            .get(&ids::Digest::of(token.as_bytes()))
            .cloned();
        team.ok_or_else(|| {
            errors::Refusal::new(errors::ResultCode::Unauthorized, "the token is unknown")
        })
    }

    fn list_models(&self, team: &control::TeamView) -> http::Reply {
        let snapshot = self.cx.control.snapshot();
        let mut names: Vec<_> = snapshot
            .profiles
            .values()
            .filter(|view| view.profile.teams.contains(&team.name))
            .map(|view| view.name.clone())
            .collect();
        names.sort();
        let data: Vec<_> = names
            .iter()
            .map(|name| json!({ "id": name, "object": "model", "created": 0, "owned_by": "quetzalworks" }))
            .collect();
        http::json(StatusCode::OK, &json!({ "object": "list", "data": data }))
    }
}

/// Refuses a request whose head exceeds the limit although it fitted into the buffer.
fn check_head(req: &Request<Incoming>, limit: units::Bytes) -> Result<(), errors::Refusal> {
    // Separators of a header line: a colon, a space and the line end.
    const LINE_SEPARATOR_BYTES: usize = 4;
    let headers = req.headers().iter();
    let size: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_SEPARATOR_BYTES)
        .sum();
    let target = req
        .uri()
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    if size + target <= limit.as_usize() {
        return Ok(());
    }
    Err(errors::Refusal::new(
        errors::ResultCode::HeadersTooLarge,
        format!("the head is over {limit}"),
    ))
}

impl http::Handler for CallerApi {
    fn unfinished(&self) -> http::Reply {
        log::warn!("route: a request was ended by the end of a planned stop.");
        chat::error_response(&errors::Refusal::new(
            errors::ResultCode::OutcomeUnknown,
            "the process stops, whether the request has run is not known",
        ))
    }

    fn overloaded(&self) -> http::Reply {
        let code = errors::ResultCode::Overloaded;
        let refusal = errors::Refusal::new(code, "there is no memory for the request now")
            .with_retry_after(http::MEMORY_RETRY_AFTER);
        observe::metrics().record_end(Some(code), Duration::ZERO);
        log::info!("route: request refused: {refusal}.");
        chat::error_response(&refusal)
    }

    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        let arrived = Instant::now();
        let id = ids::RequestId::generate();
        let is_service = req.uri().path().starts_with(service::PATH_PREFIX);
        let mut reply = match self.answer(id, req).await {
            Ok(reply) => reply,
            Err(refusal) => {
                observe::metrics().record_end(Some(refusal.code), arrived.elapsed());
                log::info!("route: request {id} refused: {refusal}.");
                if is_service {
                    service::error_response(&refusal)
                } else {
                    chat::error_response(&refusal)
                }
            }
        };
        if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
            reply.headers_mut().insert(input::REQUEST_ID_HEADER, value);
        }
        reply
    }
}
