//! Failures of HTTP exchanges.

use std::fmt;
use std::io;
use std::sync::Arc;

/// A failed exchange, told apart by whether the peer may have acted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No connection: the peer has seen nothing of the request.
    NotSent(Arc<str>),
    /// The exchange broke off after the request was at least partly sent.
    Broken(Arc<str>),
    /// The time limit passed after the request was at least partly sent.
    TimedOut,
    /// The body is larger than the limit.
    TooLarge,
    /// The body is not what was expected.
    Malformed(Arc<str>),
}

impl HttpError {
    /// Whether the peer has certainly not acted on the request.
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
