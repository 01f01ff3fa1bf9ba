//! Errors of HTTP exchanges.

use std::fmt;
use std::io;
use std::sync::Arc;

/// Error of an exchange. The variant shows whether the peer may have acted on the
/// request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No connection was made, so the peer has received nothing of the request.
    NotSent(Arc<str>),
    /// The connection failed after at least part of the request was sent.
    Broken(Arc<str>),
    /// The time limit passed after at least part of the request was sent.
    TimedOut,
    /// The body is larger than the limit that the reader has set.
    TooLarge,
    /// The body does not fit into the memory for all bodies.
    OverBudget,
    /// The body does not decode as the expected type.
    Malformed(Arc<str>),
}

impl HttpError {
    /// Returns whether the peer has certainly not acted on the request.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not connected: {reason}"),
            Self::Broken(reason) => write!(f, "connection broke: {reason}"),
            Self::TimedOut => f.write_str("timed out"),
            Self::TooLarge => f.write_str("body too large"),
            Self::OverBudget => f.write_str("no memory for the body"),
            Self::Malformed(reason) => write!(f, "malformed body: {reason}"),
        }
    }
}

impl std::error::Error for HttpError {}

impl From<io::Error> for HttpError {
    fn from(err: io::Error) -> Self {
        Self::NotSent(err.to_string().into())
    }
}

impl From<hyper::Error> for HttpError {
    fn from(err: hyper::Error) -> Self {
        Self::Broken(err.to_string().into())
    }
}
