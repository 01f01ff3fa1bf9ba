//! Responses of this process, and reading of complete bodies.

use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;

use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as HttpBody, Bytes, Frame};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use smol::channel::Receiver;
use smol::stream::{Stream, StreamExt};

use crate::http;
use crate::units;

/// Body of a response of this process. An error in it closes the connection early, so
/// that the caller does not take the answer for complete.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Response of this process to a caller.
pub type Reply = Response<Body>;

/// Returns a response with a complete body of the given content type.
#[must_use]
pub fn full(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(complete_body(body.into()));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

fn complete_body(body: Bytes) -> Body {
    Full::new(body).map_err(unreachable_error).boxed_unsync()
}

fn unreachable_error(never: Infallible) -> io::Error {
    match never {}
}

/// Returns a response with the given headers and a complete body.
#[must_use]
pub fn relayed(status: StatusCode, headers: HeaderMap, body: Bytes) -> Reply {
    let mut reply = Response::new(complete_body(body));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// Returns a response whose body is read from `chunks`. An error in the stream closes the
/// connection early; the stream is dropped when the caller leaves.
#[must_use]
pub fn generated(
    status: StatusCode,
    headers: HeaderMap,
    chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
) -> Reply {
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    let mut reply = Response::new(StreamBody::new(frames).boxed_unsync());
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// Returns a response with `value` as JSON, or a 500 if `value` cannot be encoded.
#[must_use]
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => full(status, "application/json", body),
        Err(err) => full(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            err.to_string(),
        ),
    }
}

/// Returns a response whose body is received from a channel. The receiver is dropped when
/// the caller leaves, which the sender notices.
#[must_use]
pub fn streamed(status: StatusCode, content_type: &'static str, chunks: Receiver<Bytes>) -> Reply {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    generated(status, headers, chunks.map(Ok))
}

/// Reads a complete body. Fails if it is larger than `limit`, or does not fit into the
/// budget, if there is one; in the latter case the rest is discarded, as a peer that still
/// sends may miss the answer.
pub async fn read_body<B>(
    body: B,
    limit: units::Bytes,
    budget: Option<&Arc<http::BufferBudget>>,
) -> Result<Bytes, http::HttpError>
where
    B: HttpBody<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let mut body = pin!(body);
    let result = collect(body.as_mut(), limit, budget).await;
    if result == Err(http::HttpError::OverBudget) {
        while let Some(Ok(_)) = body.frame().await {}
    }
    result
}

async fn collect<B>(
    mut body: Pin<&mut B>,
    limit: units::Bytes,
    budget: Option<&Arc<http::BufferBudget>>,
) -> Result<Bytes, http::HttpError>
where
    B: HttpBody<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut buffer = http::BodyBuffer::new(limit, budget);
    buffer.reserve(stated)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| http::HttpError::Broken(err.to_string().into()))?;
        if let Some(data) = frame.data_ref() {
            buffer.push(data)?;
        }
    }
    Ok(buffer.into_bytes())
}
