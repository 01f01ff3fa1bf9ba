//! An operator's client that changes the configuration through an entry.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::header::{AUTHORIZATION, ETAG, HeaderName, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request};
use serde_json::Value;

use crate::bench;
use crate::http;
use crate::runtime;
use crate::units;

/// Operator token of the experiments.
pub const TOKEN: &str = "bench-operator";
/// Time until the head of a response from the admin API.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a response body of the admin API.
const MAX_RESPONSE_BODY: units::Bytes = units::Bytes(1_024 * 1_024);

/// A client of an entry's admin API.
#[derive(Debug)]
pub struct Operator(http::Client);

impl Operator {
    /// Creates a client of the entry at this address.
    #[must_use]
    pub fn new(entry: SocketAddr, traffic: &runtime::Traffic) -> Self {
        Self(http::Client::new(entry, traffic.clone()))
    }

    /// Reads a resource at a path below `/admin/v1/`.
    pub async fn get(&self, path: &str) -> Result<Value, bench::BenchError> {
        let answer = self.send(Method::GET, path, None, String::new()).await?;
        Ok(answer.json(MAX_RESPONSE_BODY).await?)
    }

    /// Creates or replaces an object, on the condition that it has not changed since it
    /// was read. Returns the numeric result code of a refusal; `None` on success or where
    /// the refusal has no number.
    pub async fn put(&self, path: &str, object: &Value) -> Result<Option<u64>, bench::BenchError> {
        let present = self.send(Method::GET, path, None, String::new()).await?;
        let condition = match present.headers.get(ETAG) {
            Some(revision) => (IF_MATCH, revision.clone()),
            None => (IF_NONE_MATCH, HeaderValue::from_static("*")),
        };
        drop(present);
        let sent = self.send(Method::PUT, path, Some(condition), object.to_string());
        let answer = sent.await?;
        if answer.status.is_success() {
            return Ok(None);
        }
        let body: Value = answer.json(MAX_RESPONSE_BODY).await?;
        Ok(body.pointer("/error/number").and_then(Value::as_u64))
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        condition: Option<(HeaderName, HeaderValue)>,
        body: String,
    ) -> Result<http::Answer, bench::BenchError> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("/admin/v1/{path}"))
            .header(AUTHORIZATION, format!("Bearer {TOKEN}"));
        if let Some((name, value)) = condition {
            req = req.header(name, value);
        }
        let req = req.body(Full::new(body.into()))?;
        Ok(self.0.send(req, REQUEST_TIMEOUT).await?)
    }
}
