//! HTTP client of the operators' API.

use std::fmt::Display;
use std::net::ToSocketAddrs;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, ETAG, HeaderMap, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request};
use serde_json::Value;

use crate::admin;
use crate::catalog;
use crate::cli;
use crate::http;
use crate::ids;
use crate::runtime;
use crate::units;

/// Timeout of a request; the server takes up to 9 s for a change.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of the body of a response.
const MAX_BODY: units::Bytes = units::Bytes(64 * 1_024 * 1_024);

/// Client of the operators' API at one entry, with the operator's token and name.
#[derive(Debug)]
pub struct Client {
    http: http::Client,
    token: Arc<str>,
    author: Arc<str>,
}

impl Client {
    /// Creates a client of the entry at `server` (`host:port`). Fails where the
    /// address cannot be resolved.
    pub fn new(server: &str, token: &str, author: &str) -> Result<Self, cli::Failure> {
        let server = server.trim_start_matches("http://").trim_end_matches('/');
        let addr = server
            .to_socket_addrs()
            .map_err(|err| cli::Failure::usage(format!("--server {server}: {err}")))?
            .next()
            .ok_or_else(|| cli::Failure::usage(format!("--server {server}: no address")))?;
        let traffic = runtime::Traffic::spawn_threads(1)
            .map_err(|err| cli::Failure::Other(err.to_string().into()))?;
        Ok(Self {
            http: http::Client::new(addr, traffic),
            token: token.into(),
            author: author.into(),
        })
    }

    /// Reads the resource at `path`, which is relative to the prefix of the API.
    pub async fn read(&self, path: impl Display) -> Result<Value, cli::Failure> {
        let (_, body) = self
            .exchange(
                self.request(&Method::GET, path),
                Bytes::new(),
                cli::Failure::Read,
            )
            .await?;
        Ok(body)
    }

    /// Reads an object with its revision; `None` where it does not exist.
    pub async fn object(
        &self,
        id: &catalog::ObjectId,
    ) -> Result<Option<(ids::Revision, Value)>, cli::Failure> {
        let req = self.request(&Method::GET, id);
        match self.exchange(req, Bytes::new(), cli::Failure::Read).await {
            Ok((headers, body)) => Ok(Some((revision(&headers)?, body))),
            Err(cli::Failure::Refused(error)) if error["number"] == 3005 => Ok(None),
            Err(err) => Err(err),
        }
    }

    /// Creates or replaces an object with `content`, or deletes it where that is
    /// `None`, under a condition. A dry run checks and shows the change without making it.
    pub async fn change(
        &self,
        id: &catalog::ObjectId,
        condition: admin::Condition,
        content: Option<&Value>,
        dry_run: bool,
    ) -> Result<Value, cli::Failure> {
        let method = if content.is_some() {
            Method::PUT
        } else {
            Method::DELETE
        };
        let path = if dry_run {
            format!("{id}?dry_run=true")
        } else {
            id.to_string()
        };
        let req = self.request(&method, path);
        let req = match condition {
            admin::Condition::Match(base) => req.header(IF_MATCH, format!("\"{base}\"")),
            admin::Condition::Absent => req.header(IF_NONE_MATCH, "*"),
        };
        let body = content.map(Value::to_string).unwrap_or_default();
        let (_, answer) = self
            .exchange(req, body.into(), cli::Failure::Change)
            .await?;
        Ok(answer)
    }

    fn request(&self, method: &Method, path: impl Display) -> hyper::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("{}{path}", admin::PREFIX))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header("x-quetzalworks-author", &*self.author)
    }

    async fn exchange(
        &self,
        req: hyper::http::request::Builder,
        body: Bytes,
        to_failure: fn(http::HttpError) -> cli::Failure,
    ) -> Result<(HeaderMap, Value), cli::Failure> {
        let req = req.body(Full::new(body)).map_err(cli::Failure::usage)?;
        let answer = self.http.send(req, TIMEOUT).await.map_err(to_failure)?;
        let (status, headers) = (answer.status, answer.headers.clone());
        let mut body: Value = answer.json(MAX_BODY).await.map_err(to_failure)?;
        if status.is_success() {
            return Ok((headers, body));
        }
        Err(cli::Failure::Refused(body["error"].take()))
    }
}

fn revision(headers: &HeaderMap) -> Result<ids::Revision, cli::Failure> {
    headers
        .get(ETAG)
        .and_then(|tag| tag.to_str().ok())
        .and_then(|tag| tag.trim_matches('"').parse().ok())
        .ok_or_else(|| cli::Failure::Other("the server sent no revision".into()))
}
