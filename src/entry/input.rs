//! Reading of callers' requests.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::body::{Bytes, Incoming};

use crate::entry::cx;
use crate::errors;
use crate::http;
use crate::runtime;

/// The request's id, on every response.
pub const REQUEST_ID: &str = "x-quetzalworks-request-id";

/// Reads a body within the limits on size and time.
pub async fn body(cx: &cx::Shared, body: Incoming) -> Result<Bytes, errors::Refusal> {
    let limits = cx.cfg.limits;
    let deadline = Instant::now() + limits.send_timeout_ms.duration();
    let read = runtime::timeout_at(deadline, http::read_body(body, limits.body_bytes)).await;
    match read {
        Some(Ok(body)) => Ok(body),
        Some(Err(http::HttpError::TooLarge)) => Err(errors::Refusal::new(
            errors::ResultCode::BodyTooLarge,
            format!("the body is over {}", limits.body_bytes),
        )),
        Some(Err(err)) => Err(errors::Refusal::new(
            errors::ResultCode::MalformedRequest,
            err.to_string(),
        )),
        None => Err(errors::Refusal::new(
            errors::ResultCode::SlowRequest,
            "the body was not sent in time",
        )),
    }
}

/// A header as text; `None` where it is missing or not text.
#[must_use]
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses the value of a header.
pub fn parse<T: FromStr>(text: &str, header: &str) -> Result<T, errors::Refusal>
where
    T::Err: Display,
{
    text.parse().map_err(|err| {
        errors::Refusal::new(
            errors::ResultCode::MalformedRequest,
            format!("{header}: {err}"),
        )
    })
}
