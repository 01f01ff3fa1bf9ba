//! Helpers shared by the stand-ins' HTTP handlers.

use hyper::body::Incoming;
use hyper::{Request, StatusCode};

use crate::http;
use crate::units;

/// Largest accepted request body.
const MAX_BODY: units::Bytes = units::Bytes(4 * 1_024 * 1_024);

/// Returns a plain-text reply with the status as its body.
pub fn status(status: StatusCode) -> http::Reply {
    http::full(status, "text/plain", status.to_string())
}

/// Reads the JSON body of a request; `None` if it is missing, malformed or too large.
pub async fn read_json<T: serde::de::DeserializeOwned>(req: Request<Incoming>) -> Option<T> {
    let body = http::read_body(req.into_body(), MAX_BODY, None)
        .await
        .ok()?;
    serde_json::from_slice(&body).ok()
}

/// Decodes the command in the body of a control request and applies it;
/// answers 400 if the body is malformed.
pub async fn control<T: serde::de::DeserializeOwned>(
    req: Request<Incoming>,
    apply: impl FnOnce(T),
) -> http::Reply {
    match read_json(req).await {
        Some(command) => {
            apply(command);
            http::json(StatusCode::OK, &serde_json::json!({}))
        }
        None => status(StatusCode::BAD_REQUEST),
    }
}
