//! Failed requests of operators.

use hyper::StatusCode;
use serde_json::{Value, json};

use crate::errors;
use crate::http;
use crate::ids;

/// A failed request with what the operator needs to go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Code and text.
    pub refusal: errors::Refusal,
    /// The object's revision, after a conflict.
    pub revision: Option<ids::Revision>,
    /// The change, where it was or may have been appended.
    pub change: Option<ids::ChangeId>,
}

impl Failure {
    /// The object has another revision than the change was made on.
    #[must_use]
    pub fn conflict(current: ids::Revision, change: Option<ids::ChangeId>) -> Self {
        let message = format!("the object is at revision {current}");
        Self {
            refusal: errors::Refusal::new(errors::ResultCode::Conflict, message),
            revision: Some(current),
            change,
        }
    }

    /// Whether the change was accepted is not known.
    #[must_use]
    pub fn unknown(change: ids::ChangeId) -> Self {
        let message = format!(
            "whether the change was accepted is not known; changes/{change} tells it later"
        );
        Self {
            refusal: errors::Refusal::new(errors::ResultCode::ChangeUnknown, message),
            revision: None,
            change: Some(change),
        }
    }

    /// The response.
    #[must_use]
    pub fn reply(&self) -> http::Reply {
        let code = self.refusal.code;
        let status =
            StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        http::json(status, &json!({ "error": self.members() }))
    }

    fn members(&self) -> Value {
        let code = self.refusal.code;
        let mut members = json!({
            "message": &*self.refusal.message,
            "code": code.to_string(),
            "number": code.number(),
        });
        if let Some(revision) = self.revision {
            members["revision"] = json!(revision);
        }
        if let Some(change) = self.change {
            members["change"] = json!(change);
        }
        members
    }
}

impl From<errors::Refusal> for Failure {
    fn from(refusal: errors::Refusal) -> Self {
        Self {
            refusal,
            revision: None,
            change: None,
        }
    }
}
