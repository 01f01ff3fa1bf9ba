//! Answers as they are kept for replay.

use std::sync::Arc;

use crate::attempt;

/// Largest body that is kept; larger ones would crowd the log.
pub const MAX_KEPT_BODY: usize = 16 * 1_024;

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub body: RecordedBody,
}

/// The body of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedBody {
    /// A text.
    Text(Arc<str>),
    /// Bytes that are not text.
    Bytes(Vec<u8>),
    /// A body that was too large to be kept.
    TooLarge,
}

impl RecordedAnswer {
    /// The answer as far as it is kept.
    #[must_use]
    pub fn of(answer: &attempt::ServiceAnswer) -> Self {
        let body = if answer.body.len() > MAX_KEPT_BODY {
            RecordedBody::TooLarge
        } else {
            match std::str::from_utf8(&answer.body) {
                Ok(text) => RecordedBody::Text(text.into()),
                Err(_) => RecordedBody::Bytes(answer.body.clone()),
            }
        };
        Self {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body,
        }
    }

    /// The answer for replay; `None` where its body was too large to be kept.
    #[must_use]
    pub fn replay(self) -> Option<attempt::ServiceAnswer> {
        let body = match self.body {
            RecordedBody::Text(text) => text.as_bytes().to_vec(),
            RecordedBody::Bytes(bytes) => bytes,
            RecordedBody::TooLarge => return None,
        };
        Some(attempt::ServiceAnswer {
            status: self.status,
            content_type: self.content_type,
            body,
        })
    }
}
