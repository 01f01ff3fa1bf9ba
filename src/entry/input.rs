//! Reading of callers' requests.

use std::fmt::Display;
use std::str::FromStr;

use hyper::HeaderMap;

use crate::errors;

/// The request's id, on every response.
pub const REQUEST_ID: &str = "x-quetzalworks-request-id";

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
