//! Failures of calls to the platform.

use std::fmt;

use crate::http;

/// A failed call to a platform service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The call did not reach the service or was refused by it; nothing was done.
    Refused(http::HttpError),
    /// The service answered with this HTTP status.
    Status(u16),
    /// The call may or may not have taken effect.
    Unknown(http::HttpError),
}

impl PlatformError {
    /// Whether the call may have taken effect. A service that answers with a
    /// fault of its own or of a gateway may have done its work before.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unknown(_) => true,
            Self::Status(status) => matches!(status, 500 | 502 | 504),
            Self::Refused(_) => false,
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(err) => write!(f, "not done: {err}"),
            Self::Status(status) => write!(f, "answered with status {status}"),
            Self::Unknown(err) => write!(f, "outcome unknown: {err}"),
        }
    }
}

impl std::error::Error for PlatformError {}

impl From<http::HttpError> for PlatformError {
    fn from(err: http::HttpError) -> Self {
        if err.is_not_sent() {
            Self::Refused(err)
        } else {
            Self::Unknown(err)
        }
    }
}
