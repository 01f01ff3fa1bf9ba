//! Targets of requests: a path, and parameters in a query.

use std::fmt::Write;

use hyper::Uri;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode, percent_encode};

/// All bytes but the unreserved characters of RFC 3986.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Target of a request to the store.
#[derive(Debug)]
pub(super) struct Target(String);

impl Target {
    /// Creates a target without parameters.
    pub(super) fn new(path: &str) -> Self {
        Self(path.into())
    }

    /// Adds a parameter. Any bytes are allowed in its value.
    pub(super) fn with(mut self, name: &str, value: impl AsRef<[u8]>) -> Self {
        let separator = if self.0.contains('?') { '&' } else { '?' };
        let value = percent_encode(value.as_ref(), ENCODED);
        // Writing to a string does not fail.
        let _ = write!(self.0, "{separator}{name}={value}");
        self
    }

    pub(super) fn as_str(&self) -> &str {
        &self.0
    }
}

/// Returns the value of a parameter, decoded as in a form: a plus stands for a blank. `None`
/// where the parameter is absent, or one of its escapes is malformed.
pub(super) fn parameter(uri: &Uri, name: &str) -> Option<Vec<u8>> {
    let pairs = uri.query()?.split('&');
    let mut decoded = pairs.filter_map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        Some((decode(key)?, decode(value)?))
    });
    let (_, value) = decoded.find(|(key, _)| key == name.as_bytes())?;
    Some(value)
}

fn decode(text: &str) -> Option<Vec<u8>> {
    let is_escape = |rest: &str| {
        rest.get(..2)
            .is_some_and(|hex| hex.bytes().all(|b| b.is_ascii_hexdigit()))
    };
    let is_valid = text.split('%').skip(1).all(is_escape);
    is_valid.then(|| percent_decode(text.replace('+', " ").as_bytes()).collect())
}
