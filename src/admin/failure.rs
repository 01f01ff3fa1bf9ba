//! Error responses to operators.

use hyper::StatusCode;
use serde_json::{Value, json};

use crate::errors;
use crate::http;
use crate::ids;

/// A failed request, with the data that the operator needs to proceed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Result code and message of the failure.
    pub refusal: errors::Refusal,
    /// Current revision of the object; only present after a conflict.
    pub revision: Option<ids::Revision>,
    /// Id of the change; only present where it was or may have been appended.
    pub change: Option<ids::ChangeId>,
}

impl Failure {
    /// Creates the failure of a change whose base is not the object's current revision.
    #[must_use]
    pub fn conflict(current: ids::Revision, change: Option<ids::ChangeId>) -> Self {
        let message = format!("the object is at revision {current}");
        Self {
            refusal: errors::Refusal::new(errors::ResultCode::Conflict, message),
            revision: Some(current),
            change,
        }
    }

    /// Creates the failure of a change of which it is not known whether it was accepted.
    #[must_use]
    pub fn outcome_unknown(change: ids::ChangeId) -> Self {
        let message = format!(
            "whether the change was accepted is not known; changes/{change} tells it later"
        );
        Self {
            refusal: errors::Refusal::new(errors::ResultCode::ChangeUnknown, message),
            revision: None,
            change: Some(change),
        }
    }

    /// Builds the HTTP response, with a JSON body.
    #[must_use]
    pub fn reply(&self) -> http::Reply {
        let code = self.refusal.code;
        let status =
            StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        http::json(status, &json!({ "error": self.error_object() }))
    }

    fn error_object(&self) -> Value {
        let code = self.refusal.code;
        let mut error_object = json!({
            "message": &*self.refusal.message,
            "code": code.to_string(),
            "number": code.number(),
        });
        if let Some(revision) = self.revision {
            error_object["revision"] = json!(revision);
        }
        if let Some(change) = self.change {
            error_object["change"] = json!(change);
        }
        error_object
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
