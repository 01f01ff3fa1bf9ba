//! Requests of a follower to its reader.

use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};

use crate::direct;
use crate::http;
use crate::peers;
use crate::peers::handler;
use crate::units;

/// Maximum size of an answer.
const MAX_ANSWER: units::Bytes = units::Bytes(4 * 1_024 * 1_024);

/// Why a poll has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollError {
    /// None came within the limit.
    Silent,
    /// The connection failed, or the answer was invalid.
    Broken,
}

impl From<PollError> for peers::FollowEnd {
    fn from(err: PollError) -> Self {
        match err {
            PollError::Silent => Self::Silent,
            PollError::Broken => Self::Unreachable,
        }
    }
}

/// Polls the reader that `client` connects to. Fails if the complete answer does not arrive
/// within `limit`.
pub async fn poll(
    client: &http::Client,
    poll: &peers::Poll,
    limit: Duration,
) -> Result<peers::PollAnswer, PollError> {
    call(client, handler::POLL_PATH, poll, limit).await
}

/// Exchanges the results of rollouts through the reader that `client` connects to, and
/// returns those of all entries. Fails if the complete answer does not arrive within `limit`,
/// or the reader could not exchange them.
pub async fn exchange_evidence(
    client: &http::Client,
    req: &peers::EvidenceRequest,
    limit: Duration,
) -> Result<Vec<direct::SharedEvidence>, PollError> {
    call(client, handler::EVIDENCE_PATH, req, limit).await
}

async fn call<T: serde::de::DeserializeOwned>(
    client: &http::Client,
    path: &'static str,
    req: &impl serde::Serialize,
    limit: Duration,
) -> Result<T, PollError> {
    let body = postcard::to_stdvec(req).map_err(|_| PollError::Broken)?;
    let req = Request::builder()
        .method(Method::POST)
        .uri(path)
        .body(Full::new(Bytes::from(body)))
        .map_err(|_| PollError::Broken)?;
    match client.fetch(req, MAX_ANSWER, limit).await {
        Ok((StatusCode::OK, body)) => postcard::from_bytes(&body).map_err(|_| PollError::Broken),
        Err(http::HttpError::TimedOut) => Err(PollError::Silent),
        Ok(_) | Err(_) => Err(PollError::Broken),
    }
}
