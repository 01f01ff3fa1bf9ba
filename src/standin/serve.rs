//! Small helpers of the stand-ins' HTTP handlers.

use hyper::body::Incoming;
use hyper::{Request, StatusCode};

use crate::http;
use crate::units;

/// Largest body that a stand-in reads.
const MAX_BODY: units::Bytes = units::Bytes(4 * 1_024 * 1_024);

/// A plain answer with a status.
pub fn status(status: StatusCode) -> http::Reply {
    http::full(status, "text/plain", status.to_string())
}

/// The JSON body of a request; `None` where it is missing or malformed.
pub async fn read_json<T: serde::de::DeserializeOwned>(req: Request<Incoming>) -> Option<T> {
    let body = http::read_body(req.into_body(), MAX_BODY).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Runs the control command in the body of a request.
pub async fn control<T: serde::de::DeserializeOwned>(
    req: Request<Incoming>,
    run: impl FnOnce(T),
) -> http::Reply {
    match read_json(req).await {
        Some(command) => {
            run(command);
            http::json(StatusCode::OK, &serde_json::json!({}))
        }
        None => status(StatusCode::BAD_REQUEST),
    }
}
