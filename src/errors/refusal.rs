//! A request that is answered with a result code.

use std::fmt;
use std::sync::Arc;

use crate::errors;
use crate::units;

/// A result code with the text and the hint for the caller.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Refusal {
    /// What happened.
    pub code: errors::ResultCode,
    /// A sentence for the caller; holds no secrets.
    pub message: Arc<str>,
    /// When a retry may succeed.
    pub retry_after: Option<units::Millis>,
}

impl Refusal {
    /// A refusal without a hint on retries.
    pub fn new(code: errors::ResultCode, message: impl Into<Arc<str>>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The same refusal with a hint on when to retry.
    #[must_use]
    pub const fn retry_after(mut self, delay: units::Millis) -> Self {
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
