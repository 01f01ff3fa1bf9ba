//! Replies that the router generates itself.

use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};

use crate::errors;
use crate::gateway::trace;
use crate::http;

/// Refuses a request that was not executed, and writes its log line.
pub fn refuse(trace: &mut trace::Trace, refusal: &errors::Refusal) -> http::Reply {
    trace.note("code", &refusal.code);
    trace.note("reason", &refusal.message);
    trace.finish(trace::Outcome::Refused, refusal.code.http_status());
    reply(refusal)
}

/// Returns the reply for a refusal: a JSON body and, if stated, `Retry-After` in seconds.
#[must_use]
pub fn reply(refusal: &errors::Refusal) -> http::Reply {
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = serde_json::json!({
        "code": refusal.code.number(),
        "title": refusal.code.to_string(),
        "detail": &*refusal.message,
    });
    let mut reply = http::json(status, &body);
    if let Some(after) = refusal.retry_after {
        let seconds = format!("{:.2}", after.duration().as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    reply
}
