//! Refusals: a result code with a message for the caller.

use std::fmt;
use std::sync::Arc;

use crate::errors;
use crate::units;

/// A result code with a message and an optional retry hint for the caller.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Refusal {
    /// Result code; decides the HTTP status and whether a retry makes sense.
    pub code: errors::ResultCode,
    /// Message for the caller; must not contain secrets.
    pub message: Arc<str>,
    /// Delay after which a retry may succeed; `None` gives no hint.
    pub retry_after: Option<units::Millis>,
}

impl Refusal {
    /// Creates a refusal without a retry hint.
    pub fn new(code: errors::ResultCode, message: impl Into<Arc<str>>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Adds the hint that a retry may succeed after `delay`.
    #[must_use]
    pub const fn with_retry_after(mut self, delay: units::Millis) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code.number(), self.code, self.message)
    }
}

impl std::error::Error for Refusal {}
