//! Reading of request bodies from outside.

use std::sync::Arc;
use std::time::Instant;

use hyper::body::{Bytes, Incoming};

use crate::errors;
use crate::http;
use crate::runtime;
use crate::settings;

/// Reads a request body. Fails with the refusal for the caller if it exceeds the limits
/// on size or time.
pub async fn read_request_body(
    body: Incoming,
    limits: settings::Limits,
    budget: Option<&Arc<http::BufferBudget>>,
) -> Result<Bytes, errors::Refusal> {
    let deadline = Instant::now() + limits.send_timeout_ms.duration();
    let (code, reason) =
        match runtime::timeout_at(deadline, http::read_body(body, limits.body_bytes, budget)).await
        {
            Some(Ok(body)) => return Ok(body),
            Some(Err(http::HttpError::TooLarge)) => (
                errors::ResultCode::BodyTooLarge,
                format!("the body is over {}", limits.body_bytes),
            ),
            Some(Err(http::HttpError::OverBudget)) => (
                errors::ResultCode::Overloaded,
                "there is no memory for the body now".into(),
            ),
            Some(Err(err)) => (errors::ResultCode::MalformedRequest, err.to_string()),
            None => (
                errors::ResultCode::SlowRequest,
                "the body was not sent in time".into(),
            ),
        };
    Err(errors::Refusal::new(code, reason))
}
