//! Poll of a reader by a follower.

use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};

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
    let body = postcard::to_stdvec(poll).map_err(|_| PollError::Broken)?;
    let req = Request::builder()
        .method(Method::POST)
        .uri(handler::POLL_PATH)
        .body(Full::new(Bytes::from(body)))
        .map_err(|_| PollError::Broken)?;
    match client.fetch(req, MAX_ANSWER, limit).await {
        Ok((StatusCode::OK, body)) => postcard::from_bytes(&body).map_err(|_| PollError::Broken),
        Err(http::HttpError::TimedOut) => Err(PollError::Silent),
        Ok(_) | Err(_) => Err(PollError::Broken),
    }
}
