//! Errors of calls to the platform's services.

use std::fmt;

use crate::http;

/// A failed call to a platform service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The request was not sent, or it failed in a way that rules out any effect.
    Refused(http::HttpError),
    /// The service responded with this unexpected HTTP status.
    Status(u16),
    /// The position is of an earlier era of the store, which has come back from an older copy.
    Restored,
    /// The request was sent but got no usable response; it may or may not have taken effect.
    Unknown(http::HttpError),
}

impl PlatformError {
    /// Returns whether the call may have taken effect. After 500, 502 and 504 the
    /// service, or one behind a gateway, may have done the work before it failed.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unknown(_) => true,
            Self::Status(status) => matches!(status, 500 | 502 | 504),
            Self::Refused(_) | Self::Restored => false,
        }
    }
}

/// Returns the error of a response that cannot be decoded.
pub(super) fn malformed(reason: &dyn fmt::Display) -> PlatformError {
    PlatformError::Unknown(http::HttpError::Malformed(reason.to_string().into()))
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(err) => write!(f, "not done: {err}"),
            Self::Status(status) => write!(f, "answered with status {status}"),
            Self::Restored => write!(f, "not done: the store has come back from an older copy"),
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
