//! Answers as recorded for replay.

use std::sync::Arc;

use crate::attempt;

/// Maximum size of a recorded body; larger ones would crowd the log.
pub const MAX_RECORDED_BODY_BYTES: usize = 16 * 1_024;

/// Answer to a call, as recorded in the `calls` stream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status code of the answer.
    pub status: u16,
    /// Content type of the body; `None` if the service sent none.
    pub content_type: Option<Arc<str>>,
    /// Body of the answer, unless it was too large.
    pub body: RecordedBody,
}

/// Body of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedBody {
    /// Body that is valid UTF-8.
    Text(Arc<str>),
    /// Body that is not valid UTF-8.
    Bytes(Vec<u8>),
    /// Body of more than [`MAX_RECORDED_BODY_BYTES`], which was not recorded.
    TooLarge,
}

impl RecordedAnswer {
    /// Records an answer; a body that is too large is left out.
    #[must_use]
    pub fn of(answer: &attempt::ServiceAnswer) -> Self {
        let body = if answer.body.len() > MAX_RECORDED_BODY_BYTES {
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

    /// Rebuilds the answer for replay; `None` if its body was too large to be recorded.
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
