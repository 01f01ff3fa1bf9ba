//! Paths of the operators' API.

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

/// The path prefix of the API.
pub const PREFIX: &str = "/admin/v1/";

/// Header with the operator's name, for the audit.
const AUTHOR: &str = "x-quetzalworks-author";
/// Longest name of an operator that is recorded.
const MAX_AUTHOR_LEN: usize = 64;

/// Answers operators.
#[derive(Debug)]
pub struct AdminApi {
    /// Digest of the operators' token.
    pub token: ids::Digest,
    /// The control thread.
    pub control: control::Control,
    /// The log.
    pub log: platform::LogClient,
    /// This VM.
    pub vm: ids::VmName,
    /// Bounds on input.
    pub limits: settings::Limits,
}

impl AdminApi {
    /// Answers one request.
    pub async fn answer(self: &Arc<Self>, req: Request<Incoming>) -> http::Reply {
        match self.try_answer(req).await {
            Ok(reply) => reply,
            Err(failure) => {
                log::info!("catalog: refused: {}.", failure.refusal);
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
            (Method::GET, ["changes", id]) => self.change(parse_id(id)?).await,
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
        if token.is_some_and(|token| ids::Digest::of(token).is_same(&self.token)) {
            return Ok(());
        }
        Err(errors::Refusal::new(
            errors::ResultCode::OperatorUnauthorized,
            "the operator token is missing or wrong",
        ))
    }

    /// The catalog, once it has been read up to the log's end.
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
            .map(|(id, revision, object)| object_json::item(id, revision, object))
            .collect();
        let offset = catalog.applied();
        Ok(http::json(
            StatusCode::OK,
            &json!({ "kind": kind, "config": offset, "items": items }),
        ))
    }

    async fn get(&self, id: &catalog::ObjectId) -> Result<http::Reply, admin::Failure> {
        let catalog = self.catalog().await?;
        let (revision, object) = catalog.get(id).ok_or_else(|| missing(id))?;
        let reply = http::json(StatusCode::OK, &object_json::plain(object));
        Ok(with_etag(reply, revision))
    }

    async fn change(&self, id: ids::ChangeId) -> Result<http::Reply, admin::Failure> {
        let verdict = self.catalog().await?.verdict(id);
        let state = match verdict {
            Some(catalog::Verdict::Accepted { .. }) => "accepted",
            Some(catalog::Verdict::Rejected { .. }) => "rejected",
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
        let body = http::read_request_body(body, self.limits).await?;
        let object = object_json::parse(id.kind, &body)?;
        let order = Order {
            id,
            condition,
            content: Some(object),
            author: author(&head.headers),
            dry_run: is_dry_run(&head.uri)?,
        };
        self.carry_out(order).await
    }

    async fn delete(
        &self,
        id: catalog::ObjectId,
        req: &Request<Incoming>,
    ) -> Result<http::Reply, admin::Failure> {
        let order = Order {
            condition: admin::Condition::from_headers(req.headers())?,
            content: None,
            author: author(req.headers()),
            dry_run: is_dry_run(req.uri())?,
            id,
        };
        self.carry_out(order).await
    }

    fn check(&self, catalog: &catalog::Catalog, order: &Order) -> Result<(), errors::Refusal> {
        let (id, content) = (&order.id, order.content.as_ref());
        let snapshot = self.control.snapshot();
        let progress = snapshot.rollouts.get(&id.name);
        catalog::check(catalog, id, content)
            .and_then(|()| catalog::check_ended(catalog, id, content, progress))
            .map_err(|err| errors::Refusal::new(errors::ResultCode::InvalidObject, err.to_string()))
    }

    async fn carry_out(&self, order: Order) -> Result<http::Reply, admin::Failure> {
        let catalog = self.catalog().await?;
        let base = order.condition.base(&catalog, &order.id)?;
        let before = catalog.get(&order.id).map(|(_, object)| object);
        if order.content.is_none() && before.is_none() {
            return Err(missing(&order.id).into());
        }
        self.check(&catalog, &order)?;
        if order.dry_run {
            if base != catalog.revision(&order.id) {
                return Err(admin::Failure::conflict(catalog.revision(&order.id), None));
            }
            return Ok(http::json(
                StatusCode::OK,
                &json!({
                    "state": "dry_run",
                    "object": order.id,
                    "base": base,
                    "before": before.map(object_json::plain),
                    "after": order.content.as_ref().map(object_json::plain),
                }),
            ));
        }
        let change = catalog::Change {
            id: ids::ChangeId::generate(),
            object: order.id.clone(),
            base,
            content: order.content,
            author: order.author,
        };
        let done = submit::submit(&self.control, &self.log, change, catalog.next_offset()).await?;
        let reply = http::json(
            StatusCode::OK,
            &json!({
                "state": "accepted",
                "object": order.id,
                "change": done.change,
                "revision": done.revision,
                "offset": done.offset,
            }),
        );
        Ok(with_etag(reply, done.revision))
    }
}

/// A change as an operator asks for it.
struct Order {
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

fn missing(id: &catalog::ObjectId) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::UnknownObject, format!("no object {id}"))
}

fn with_etag(mut reply: http::Reply, revision: ids::Revision) -> http::Reply {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        reply.headers_mut().insert(ETAG, tag);
    }
    reply
}
