//! Headers of callers' requests.

use std::fmt::Display;
use std::str::FromStr;

use hyper::HeaderMap;

use crate::errors;

/// Response header with the request id, set on every response.
pub const REQUEST_ID_HEADER: &str = "x-quetzalworks-request-id";

/// Returns a header as text, or `None` if it is missing or not visible ASCII.
#[must_use]
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses the value of a header. An invalid value is refused as a malformed request
/// under the name `header`.
pub fn parse_header<T: FromStr>(text: &str, header: &str) -> Result<T, errors::Refusal>
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
