//! Small helpers of the stand-ins' HTTP handlers.

use std::str::FromStr;

use hyper::StatusCode;

use crate::http;

/// A parameter of the query; `None` where it is missing or malformed.
pub fn query<T: FromStr>(uri: &hyper::Uri, name: &str) -> Option<T> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// A plain answer with a status.
pub fn status(status: StatusCode) -> http::Reply {
    http::full(status, "text/plain", status.to_string())
}
