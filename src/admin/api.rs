//! Request handler of the operators' API: authorization, routing and changes.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, ETAG, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use serde_json::{Value, json};

use crate::admin;
use crate::admin::{explain, object_json, status, submit};
use crate::catalog;
use crate::control;
use crate::errors;
use crate::http;
use crate::ids;
use crate::platform;
use crate::settings;

/// Path prefix of all resources of the operators' API.
pub const PREFIX: &str = "/admin/v1/";

/// Header with the operator's name, which is recorded with changes for audits.
const AUTHOR: &str = "x-quetzalworks-author";
/// Maximum length of a recorded operator name, in bytes; a longer one is replaced by `operator`.
const MAX_AUTHOR_LEN: usize = 64;

/// Handler of the operators' requests at an entry.
#[derive(Debug)]
pub struct AdminApi {
    /// SHA-256 digest of the operators' token.
    pub token_digest: ids::Digest,
    /// Handle of the control thread, which holds the catalog.
    pub control: control::Control,
    /// Client of the log, to which changes are appended.
    pub log: platform::LogClient,
    /// Name of the VM on which the entry runs.
    pub vm: ids::VmName,
    /// Limits on the requests of operators.
    pub limits: settings::Limits,
}

impl AdminApi {
    /// Handles a request; failures are logged and become error responses.
    pub async fn handle(self: &Arc<Self>, req: Request<Incoming>) -> http::Reply {
        match self.try_answer(req).await {
            Ok(reply) => reply,
            Err(failure) => {
                log::info!("catalog: operator request refused: {}.", failure.refusal);
                failure.reply()
            }
        }
    }

    async fn try_answer(&self, req: Request<Incoming>) -> Result<http::Reply, admin::Failure> {
        self.authorize(req.headers())?;
        let path = req.uri().path().to_owned();
        let rest = path.strip_prefix(PREFIX).unwrap_or_default();
        let segments: Vec<&str> = rest.split('/').collect();
        match (req.method().clone(), segments.as_slice()) {
            (Method::GET, ["status"]) => Ok(http::json(
                StatusCode::OK,
                &status::read(&self.control, &self.vm).await,
            )),
            (Method::GET, ["explain", id]) => {
                let record = explain::find(&self.log, parse_id(id)?).await?;
                Ok(http::json(StatusCode::OK, &record))
            }
            (Method::GET, ["changes", id]) => self.change_state(parse_id(id)?).await,
            (Method::GET, [kind]) => self.list(parse_kind(kind)?).await,
            (Method::GET, [_, _]) => self.get(&parse_object(rest)?).await,
            (Method::PUT, [_, _]) => self.put(parse_object(rest)?, req).await,
            (Method::DELETE, [_, _]) => self.delete(parse_object(rest)?, &req).await,
            (method, _) => Err(errors::Refusal::new(
                errors::ResultCode::UnknownPath,
                format!("no resource {method} {path}"),
            )
            .into()),
        }
    }

    fn authorize(&self, headers: &HeaderMap) -> Result<(), errors::Refusal> {
        let token = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        if token.is_some_and(|token| ids::Digest::of(token).constant_time_eq(&self.token_digest)) {
            return Ok(());
        }
        Err(errors::Refusal::new(
            errors::ResultCode::OperatorUnauthorized,
            "the operator token is missing or wrong",
        ))
    }

    /// Returns a copy of the catalog. Fails before the catalog has first been read
    /// to the end of the log.
    async fn catalog(&self) -> Result<catalog::Catalog, errors::Refusal> {
        if self.control.snapshot().phase == control::Phase::Starting {
            return Err(errors::Refusal::new(
                errors::ResultCode::NotReady,
                "the configuration has not been read yet",
            ));
        }
        submit::read_catalog(&self.control).await
    }

    async fn list(&self, kind: catalog::ObjectKind) -> Result<http::Reply, admin::Failure> {
        let catalog = self.catalog().await?;
        let items: Vec<Value> = catalog
            .iter()
            .filter(|(id, ..)| id.kind == kind)
            .map(|(id, revision, object)| object_json::list_item(id, revision, object))
            .collect();
        let offset = catalog.applied();
        Ok(http::json(
            StatusCode::OK,
            &json!({ "kind": kind, "config": offset, "items": items }),
        ))
    }

    async fn get(&self, id: &catalog::ObjectId) -> Result<http::Reply, admin::Failure> {
        let catalog = self.catalog().await?;
        let (revision, object) = catalog.get(id).ok_or_else(|| unknown_object(id))?;
        let reply = http::json(StatusCode::OK, &object_json::content_json(object));
        Ok(with_etag(reply, revision))
    }

    async fn change_state(&self, id: ids::ChangeId) -> Result<http::Reply, admin::Failure> {
        let verdict = self.catalog().await?.change_outcome(id);
        let state = match verdict {
            Some(catalog::ChangeOutcome::Accepted { .. }) => "accepted",
            Some(catalog::ChangeOutcome::Rejected { .. }) => "rejected",
            None => "not_seen",
        };
        Ok(http::json(
            StatusCode::OK,
            &json!({ "change": id, "state": state, "verdict": verdict }),
        ))
    }

    async fn put(
        &self,
        id: catalog::ObjectId,
        req: Request<Incoming>,
    ) -> Result<http::Reply, admin::Failure> {
        let (head, body) = req.into_parts();
        let condition = admin::Condition::from_headers(&head.headers)?;
        let body = http::read_request_body(body, &head.extensions, self.limits).await?;
        let object = object_json::parse(id.kind, &body)?;
        let request = ChangeRequest {
            id,
            condition,
            content: Some(object),
            author: author(&head.headers),
            dry_run: is_dry_run(&head.uri)?,
        };
        self.apply(request).await
    }

    async fn delete(
        &self,
        id: catalog::ObjectId,
        req: &Request<Incoming>,
    ) -> Result<http::Reply, admin::Failure> {
        let request = ChangeRequest {
            condition: admin::Condition::from_headers(req.headers())?,
            content: None,
            author: author(req.headers()),
            dry_run: is_dry_run(req.uri())?,
            id,
        };
        self.apply(request).await
    }

    fn validate(
        &self,
        catalog: &catalog::Catalog,
        request: &ChangeRequest,
    ) -> Result<(), errors::Refusal> {
        let (id, content) = (&request.id, request.content.as_ref());
        let snapshot = self.control.snapshot();
        let progress = snapshot.rollouts.get(&id.name);
        catalog::check(catalog, id, content)
            .and_then(|()| catalog::check_rollout_change(catalog, id, content, progress))
            .map_err(|err| errors::Refusal::new(errors::ResultCode::InvalidObject, err.to_string()))
    }

    async fn apply(&self, request: ChangeRequest) -> Result<http::Reply, admin::Failure> {
        let catalog = self.catalog().await?;
        let base = request.condition.base(&catalog, &request.id)?;
        let before = catalog.get(&request.id).map(|(_, object)| object);
        if request.content.is_none() && before.is_none() {
            return Err(unknown_object(&request.id).into());
        }
        self.validate(&catalog, &request)?;
        if request.dry_run {
            if base != catalog.revision(&request.id) {
                return Err(admin::Failure::conflict(
                    catalog.revision(&request.id),
                    None,
                ));
            }
            return Ok(http::json(
                StatusCode::OK,
                &json!({
                    "state": "dry_run",
                    "object": request.id,
                    "base": base,
                    "before": before.map(object_json::content_json),
                    "after": request.content.as_ref().map(object_json::content_json),
                }),
            ));
        }
        let change = catalog::Change {
            id: ids::ChangeId::generate(),
            object: request.id.clone(),
            base,
            content: request.content,
            author: request.author,
        };
        let applied =
            submit::submit(&self.control, &self.log, change, catalog.next_offset()).await?;
        let reply = http::json(
            StatusCode::OK,
            &json!({
                "state": "accepted",
                "object": request.id,
                "change": applied.change,
                "revision": applied.revision,
                "offset": applied.offset,
            }),
        );
        Ok(with_etag(reply, applied.revision))
    }
}

/// A change that an operator requests; without content it deletes the object.
struct ChangeRequest {
    id: catalog::ObjectId,
    condition: admin::Condition,
    content: Option<catalog::Object>,
    author: Arc<str>,
    dry_run: bool,
}

fn author(headers: &HeaderMap) -> Arc<str> {
    headers
        .get(AUTHOR)
        .and_then(|value| value.to_str().ok())
        .filter(|name| name.len() <= MAX_AUTHOR_LEN)
        .unwrap_or("operator")
        .into()
}

fn is_dry_run(uri: &Uri) -> Result<bool, errors::Refusal> {
    match uri.query() {
        None | Some("" | "dry_run=false") => Ok(false),
        Some("dry_run=true") => Ok(true),
        Some(query) => Err(errors::Refusal::new(
            errors::ResultCode::MalformedRequest,
            format!("unknown query {query:?}: expected dry_run=true"),
        )),
    }
}

fn parse_kind(text: &str) -> Result<catalog::ObjectKind, errors::Refusal> {
    text.parse().map_err(|_| {
        errors::Refusal::new(
            errors::ResultCode::UnknownPath,
            format!("no kind of object {text:?}"),
        )
    })
}

fn parse_object(text: &str) -> Result<catalog::ObjectId, errors::Refusal> {
    let (kind, _) = text.split_once('/').unwrap_or((text, ""));
    parse_kind(kind)?;
    text.parse().map_err(|_| {
        errors::Refusal::new(
            errors::ResultCode::InvalidObject,
            "name: expected 1 to 64 characters of [A-Za-z0-9._-]",
        )
    })
}

fn parse_id<T: std::str::FromStr>(text: &str) -> Result<T, errors::Refusal>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|err: T::Err| {
        errors::Refusal::new(errors::ResultCode::MalformedRequest, err.to_string())
    })
}

fn unknown_object(id: &catalog::ObjectId) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::UnknownObject, format!("no object {id}"))
}

fn with_etag(mut reply: http::Reply, revision: ids::Revision) -> http::Reply {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        reply.headers_mut().insert(ETAG, tag);
    }
    reply
}
