//! Errors in exchanges between the processes of the system.

use std::fmt;
use std::sync::Arc;

/// Error of an exchange with another process of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The connection or stream was closed or broke, for this reason.
    Lost(Arc<str>),
    /// A frame exceeds the size limit; holds its size in bytes.
    TooLarge(usize),
    /// A frame could not be encoded or decoded, for this reason.
    Malformed(Arc<str>),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(reason) => write!(f, "connection lost: {reason}"),
            Self::TooLarge(len) => write!(f, "frame of {len} bytes is too large"),
            Self::Malformed(reason) => write!(f, "malformed frame: {reason}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<quinn::WriteError> for WireError {
    fn from(err: quinn::WriteError) -> Self {
        Self::Lost(err.to_string().into())
    }
}

impl From<quinn::ConnectionError> for WireError {
    fn from(err: quinn::ConnectionError) -> Self {
        Self::Lost(err.to_string().into())
    }
}

impl From<quinn::ReadExactError> for WireError {
    fn from(err: quinn::ReadExactError) -> Self {
        Self::Lost(err.to_string().into())
    }
}

impl From<postcard::Error> for WireError {
    fn from(err: postcard::Error) -> Self {
        Self::Malformed(err.to_string().into())
    }
}
