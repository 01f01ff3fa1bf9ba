//! Handler of the requests of followers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};

use crate::http;
use crate::observe;
use crate::peers;
use crate::runtime;
use crate::units;

/// Path of polls; the number changes with their encoding.
pub(super) const POLL_PATH: &str = "/peers/2/poll";
/// Path of exchanges of the results of rollouts.
pub(super) const EVIDENCE_PATH: &str = "/peers/1/evidence";
/// Maximum size of a request.
const MAX_REQUEST: units::Bytes = units::Bytes(256 * 1_024);
/// Maximum time for which a poll is held; followers give up earlier.
const MAX_HOLD: Duration = Duration::from_secs(10);
/// Maximum time in which the body of a poll must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);
const CONTENT_TYPE: &str = "application/octet-stream";

/// Answers the entries that follow this one.
#[derive(Debug)]
pub struct PeerHandler {
    /// Memory for the requests of other entries.
    pub memory: Arc<http::BufferBudget>,
    /// Records that this entry passes on.
    pub relays: Arc<peers::Relays>,
    /// Rounds in which this entry exchanges the results of rollouts.
    pub rounds: peers::EvidenceRounds,
}

impl http::Handler for PeerHandler {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        let arrived = runtime::Moment::now();
        if req.method() != Method::POST {
            return http::not_found();
        }
        match req.uri().path() {
            POLL_PATH => match decode_body(req, &self.memory).await {
                Some(poll) => reply(&self.answer(&poll, arrived).await),
                None => status(StatusCode::BAD_REQUEST),
            },
            EVIDENCE_PATH => match decode_body(req, &self.memory).await {
                Some(req) => match self.rounds.exchange(req).await {
                    Some(results) => reply(&results),
                    None => status(StatusCode::SERVICE_UNAVAILABLE),
                },
                None => status(StatusCode::BAD_REQUEST),
            },
            _ => http::not_found(),
        }
    }
}

async fn decode_body<T: serde::de::DeserializeOwned>(
    req: Request<Incoming>,
    memory: &Arc<http::BufferBudget>,
) -> Option<T> {
    let body = http::read_body(req.into_body(), MAX_REQUEST, Some(memory));
    let body = runtime::timeout_at(Instant::now() + BODY_TIMEOUT, body).await?;
    postcard::from_bytes(&body.ok()?).ok()
}

fn reply(answer: &impl serde::Serialize) -> http::Reply {
    match postcard::to_stdvec(answer) {
        Ok(body) => http::full(StatusCode::OK, CONTENT_TYPE, body),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn status(status: StatusCode) -> http::Reply {
    http::full(status, CONTENT_TYPE, "")
}

impl PeerHandler {
    async fn answer(&self, poll: &peers::Poll, arrived: runtime::Moment) -> peers::PollAnswer {
        let deadline = Instant::now() + MAX_HOLD;
        loop {
            let changed = self.relays.listen(poll.source);
            let now = runtime::Moment::now();
            let answer = self
                .relays
                .read(poll.source, |log| log.answer(poll, arrived, now));
            if let Some(answer) = answer {
                observe::metrics().record_relay_sent(poll.source.into());
                return answer;
            }
            if runtime::timeout_at(deadline, changed).await.is_none() {
                return peers::PollAnswer::NotReading;
            }
        }
    }
}
