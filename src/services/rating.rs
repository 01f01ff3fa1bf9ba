//! Client of the service that rates answers.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request};

use crate::estimate;
use crate::http;
use crate::ids;
use crate::platform;
use crate::runtime;
use crate::units;

/// Largest answer of the service.
const MAX_ANSWER: units::Bytes = units::Bytes(4 * 1_024);

/// An answer to be rated; the body of `POST /rate`.
#[derive(Clone, Debug, serde::Serialize)]
pub struct RateRequest<'a> {
    /// The profile that was asked for.
    pub profile: &'a ids::ProfileName,
    /// The version that answered.
    pub version: &'a ids::VersionName,
    /// Class for the estimates.
    pub class: estimate::RequestClass,
    /// The messages, as JSON.
    pub messages: serde_json::Value,
    /// Text of the answer.
    pub answer: &'a str,
}

#[derive(serde::Deserialize)]
struct Rated {
    quality: units::Quality,
}

/// Client of the rating service; clones share connections.
#[derive(Clone, Debug)]
pub struct Rating {
    http: http::Client,
}

impl Rating {
    /// A client of the service at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self {
            http: http::Client::new(addr, traffic),
        }
    }

    /// Rates an answer.
    pub async fn rate(
        &self,
        request: &RateRequest<'_>,
        timeout: Duration,
    ) -> Result<units::Quality, platform::PlatformError> {
        let body = serde_json::to_vec(request)
            .map_err(|err| http::HttpError::NotSent(err.to_string().into()))?;
        let req = Request::builder()
            .method(Method::POST)
            .uri("/rate")
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| http::HttpError::NotSent(err.to_string().into()))?;
        let answer = self.http.send(req, timeout).await?;
        if !answer.status.is_success() {
            return Err(platform::PlatformError::Status(answer.status.as_u16()));
        }
        let rated: Rated = answer.json(MAX_ANSWER).await?;
        Ok(rated.quality)
    }
}
