//! Decodes and encodes the HTTP headers of requests and answers.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};

use crate::balance;
use crate::catalog;
use crate::gateway;
use crate::ids;
use crate::units;

/// Id of one attempt of a caller; the endpoint echoes it in its answer.
const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// Time for which the caller still waits, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
/// API key of the caller; never forwarded to an endpoint.
const API_KEY: HeaderName = HeaderName::from_static("key");
/// Name of the team that owns the API key; set by this process.
const TEAM: HeaderName = HeaderName::from_static("tenant");
/// Id of the caller's session.
const SESSION: HeaderName = HeaderName::from_static("session");
/// Requested model; `*` leaves the choice to the router.
const MODEL: HeaderName = HeaderName::from_static("model");
/// Number of prompt tokens and maximum number of output tokens, comma-separated.
const TOKEN_COUNT: HeaderName = HeaderName::from_static("token-count");
/// Estimated number of output tokens, often far off.
const LENGTH_HINT: HeaderName = HeaderName::from_static("length-hint");
/// Comma-separated parts of the prompt, each as `id:tokens`.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("prefix-hash");
/// Id of the last event that the caller has received.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Id of the endpoint that must run the request; any other endpoint refuses it.
const EXPECTED_ENDPOINT: HeaderName = HeaderName::from_static("expect-instance");
/// Scheduling rank of a request at a model engine, 0 to 9; 0 is served first.
const URGENCY: HeaderName = HeaderName::from_static("request-urgency");
/// Signature of the endpoint; an answer without it does not come from the endpoint.
const SIGNATURE: HeaderName = HeaderName::from_static("server-seal");
/// Present on an answer whose request was not run.
const NOT_RUN: HeaderName = HeaderName::from_static("not-executed");
/// Running requests, waiting requests, slots and work time in percent of the usual,
/// comma-separated; the last two may be absent.
const LOAD: HeaderName = HeaderName::from_static("server-load");
/// Present on all answers of an endpoint that leaves.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Requests per second that the endpoint takes from all entries together, while its answers
/// state it.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// The model's confidence in its answer, 0 to 100.
const CONFIDENCE: HeaderName = HeaderName::from_static("confidence");

/// Value of the `model` header that leaves the choice to the router.
const ANY_MODEL: &str = "*";
/// Rank of the least urgent requests at an engine.
const LOWEST_URGENCY: u8 = 9;

/// Headers that are removed from callers' requests: only the router may set them.
const ROUTER_ONLY: [HeaderName; 11] = [
    API_KEY,
    TEAM,
    EXPECTED_ENDPOINT,
    URGENCY,
    DEADLINE,
    HeaderName::from_static("hold"),
    HeaderName::from_static("pin-ms"),
    HeaderName::from_static("kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
    HeaderName::from_static("expect-version"),
];

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 11] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Extracts the request metadata from a caller's headers; malformed values count as absent.
#[must_use]
pub fn decode_request(headers: &HeaderMap) -> gateway::RequestMetadata {
    gateway::RequestMetadata {
        id: text(headers, &ATTEMPT_ID).map(Arc::from),
        deadline: number(headers, &DEADLINE).map(units::Millis::from_millis_rounded),
        key: text(headers, &API_KEY).map(catalog::ApiKey::new),
        session: text(headers, &SESSION).map(ids::Fingerprint::fnv1a),
        model: match text(headers, &MODEL) {
            None => gateway::RequestedModel::NotStated,
            Some(ANY_MODEL) => gateway::RequestedModel::Any,
            Some(_) => gateway::RequestedModel::Named,
        },
        prompt: prompt(headers),
        output: output(headers),
        last_event: text(headers, &LAST_EVENT).and_then(|text| text.parse().ok()),
    }
}

fn prompt(headers: &HeaderMap) -> Option<balance::Prompt> {
    let (read, _) = text(headers, &TOKEN_COUNT)?.split_once(',')?;
    let parts = text(headers, &PROMPT_PARTS).unwrap_or_default();
    Some(balance::Prompt {
        input: units::Tokens(read.trim().parse().ok()?),
        parts: parts
            .split(',')
            .filter_map(|part| {
                let (id, tokens) = part.trim().split_once(':')?;
                Some(balance::PromptPart {
                    id: ids::Fingerprint::fnv1a(id),
                    tokens: units::Tokens(tokens.parse().ok()?),
                })
            })
            .collect(),
    })
}

/// Decodes the expected length of the answer: the estimate, at most the stated maximum.
fn output(headers: &HeaderMap) -> Option<units::Tokens> {
    let stated = || {
        text(headers, &TOKEN_COUNT)?
            .split_once(',')?
            .1
            .trim()
            .parse()
            .ok()
    };
    let hint = || text(headers, &LENGTH_HINT)?.trim().parse().ok();
    let lengths = [stated(), hint()].into_iter().flatten();
    lengths.min().map(units::Tokens)
}

/// Builds the headers of a request to an endpoint: the caller's end-to-end
/// headers, with those that only the router may set removed or replaced.
#[must_use]
pub fn encode_forward(received: &HeaderMap, forward: &gateway::ForwardMetadata) -> HeaderMap {
    let mut headers = without_hop_by_hop(received);
    for name in &ROUTER_ONLY {
        headers.remove(name);
    }
    let mut set = |name: HeaderName, text: &str| match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(err) => log::error!("gateway: invalid value for request header {name}: {err}."),
    };
    set(DEADLINE, &forward.time_left.0.to_string());
    set(EXPECTED_ENDPOINT, forward.endpoint.as_str());
    if let Some(team) = &forward.team {
        set(TEAM, team.as_str());
    }
    if let Some(model) = &forward.model {
        set(MODEL, model.as_str());
    }
    if let Some(rank) = forward.urgency {
        set(URGENCY, &rank.min(LOWEST_URGENCY).to_string());
    }
    if let Some(event) = forward.resume_after {
        set(LAST_EVENT, &event.to_string());
    }
    headers
}

/// Extracts the answer metadata from the status and headers of an endpoint; malformed
/// values count as absent.
#[must_use]
pub fn decode_answer(status: StatusCode, headers: &HeaderMap) -> gateway::AnswerMetadata {
    gateway::AnswerMetadata {
        id: text(headers, &ATTEMPT_ID).map(Arc::from),
        signed: headers.contains_key(SIGNATURE),
        not_run: headers.contains_key(NOT_RUN),
        wish: wish(status, headers),
        load: load(headers),
        limit: text(headers, &LIMIT).and_then(|limit| limit.parse().ok()),
        confidence: number(headers, &CONFIDENCE).map(|percent| percent / 100.0),
        encoded: headers.contains_key(header::CONTENT_ENCODING),
    }
}

fn wish(status: StatusCode, headers: &HeaderMap) -> Option<balance::Wish> {
    if text(headers, &LEAVING) == Some("1") {
        return Some(balance::Wish::Leave);
    }
    let is_refusal = status == StatusCode::SERVICE_UNAVAILABLE;
    let pause = is_refusal.then(|| pause(headers)).flatten();
    pause.map(balance::Wish::Pause)
}

/// Decodes the pause that a refusal asks for, in seconds, which may have fractions.
fn pause(headers: &HeaderMap) -> Option<Duration> {
    let stated = headers.get(header::RETRY_AFTER)?;
    let seconds = number(headers, &header::RETRY_AFTER);
    let pause = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    if pause.is_none_or(|pause| pause > balance::MAX_PAUSE) {
        log::warn!(target: "endpoint", stated:? = stated; "endpoint asks for an absurd pause");
    }
    pause
}

/// Decodes the reported load. The last two figures are optional; a malformed one counts as
/// absent.
fn load(headers: &HeaderMap) -> Option<balance::ReportedLoad> {
    let mut parts = text(headers, &LOAD)?.split(',').map(str::trim);
    Some(balance::ReportedLoad {
        running: parts.next()?.parse().ok()?,
        waiting: parts.next()?.parse().ok()?,
        slots: parts.next().and_then(|part| part.parse().ok()),
        work_time: parts.next().and_then(|part| part.parse().ok()),
    })
}

/// Returns the headers of an endpoint's answer that are passed on to the caller.
#[must_use]
pub fn encode_answer(received: &HeaderMap) -> HeaderMap {
    without_hop_by_hop(received)
}

fn without_hop_by_hop(received: &HeaderMap) -> HeaderMap {
    let mut headers = received.clone();
    let named: Vec<HeaderName> = received
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    let number: f64 = text(headers, name)?.trim().parse().ok()?;
    number.is_finite().then_some(number)
}
