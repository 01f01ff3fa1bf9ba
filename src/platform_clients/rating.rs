//! Client of the platform's service that rates answers.

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

/// Maximum size of a response of the rating service.
const MAX_RESPONSE: units::Bytes = units::Bytes(4 * 1_024);

/// An answer to be rated; the body of `POST /rate`.
#[derive(Clone, Debug, serde::Serialize)]
pub struct RateRequest<'a> {
    /// The profile that the request named.
    pub profile: &'a ids::ProfileName,
    /// The model version that produced the answer.
    pub version: &'a ids::VersionName,
    /// Class of the request, which the estimates are kept by.
    pub class: estimate::RequestClass,
    /// Messages of the request, as JSON.
    pub messages: serde_json::Value,
    /// Text of the answer to rate.
    pub answer: &'a str,
}

#[derive(serde::Deserialize)]
struct RateResponse {
    quality: units::Quality,
}

/// Client of the rating service. Clones share their connections.
#[derive(Clone, Debug)]
pub struct RatingClient {
    http: http::Client,
}

impl RatingClient {
    /// Creates a client of the service at `addr`; no connection is opened yet.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self {
            http: http::Client::new(addr, traffic),
        }
    }

    /// Rates an answer. Fails if the service does not respond within `timeout`, or
    /// responds with a status other than 2xx.
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
        let reply = self.http.send(req, timeout).await?;
        if !reply.status.is_success() {
            return Err(platform::PlatformError::Status(reply.status.as_u16()));
        }
        let response: RateResponse = reply.json(MAX_RESPONSE).await?;
        Ok(response.quality)
    }
}
