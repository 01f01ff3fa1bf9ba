//! Handler of the polls of followers.

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
pub(super) const POLL_PATH: &str = "/peers/1/poll";
/// Maximum size of a poll.
const MAX_POLL: units::Bytes = units::Bytes(256);
/// Maximum time for which a poll is held; followers give up earlier.
const MAX_HOLD: Duration = Duration::from_secs(10);
/// Maximum time in which the body of a poll must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);
const CONTENT_TYPE: &str = "application/octet-stream";

/// Answers polls from the records of this entry.
#[derive(Debug)]
pub struct PeerHandler(pub Arc<peers::Relays>);

impl http::Handler for PeerHandler {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        let arrived = runtime::Moment::now();
        if (req.method(), req.uri().path()) != (&Method::POST, POLL_PATH) {
            return http::not_found();
        }
        let body = http::read_body(req.into_body(), MAX_POLL, None);
        let body = runtime::timeout_at(Instant::now() + BODY_TIMEOUT, body).await;
        let poll = body.and_then(|body| postcard::from_bytes(&body.ok()?).ok());
        let Some(poll) = poll else {
            return http::full(StatusCode::BAD_REQUEST, CONTENT_TYPE, "");
        };
        let answer = self.answer(&poll, arrived).await;
        let Ok(body) = postcard::to_stdvec(&answer) else {
            return http::full(StatusCode::INTERNAL_SERVER_ERROR, CONTENT_TYPE, "");
        };
        observe::metrics().record_relay_sent(poll.source.into());
        http::full(StatusCode::OK, CONTENT_TYPE, body)
    }
}

impl PeerHandler {
    async fn answer(&self, poll: &peers::Poll, arrived: runtime::Moment) -> peers::PollAnswer {
        let deadline = Instant::now() + MAX_HOLD;
        loop {
            let changed = self.0.listen();
            let now = runtime::Moment::now();
            let answer = self
                .0
                .read(poll.source, |log| log.answer(poll, arrived, now));
            if let Some(answer) = answer {
                return answer;
            }
            if runtime::timeout_at(deadline, changed).await.is_none() {
                return peers::PollAnswer::NotReading;
            }
        }
    }
}
