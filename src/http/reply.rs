//! Bodies of requests and responses.

use std::convert::Infallible;

use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Body as HttpBody, Bytes, Frame};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use smol::channel::Receiver;
use smol::stream::StreamExt;

use crate::http;
use crate::units;

/// Body of a response of this process.
pub type Body = BoxBody<Bytes, Infallible>;

/// A response of this process.
pub type Reply = Response<Body>;

/// A response with a whole body.
#[must_use]
pub fn full(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()).boxed());
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// A response with a JSON body.
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

/// A response whose body is sent as it arrives on the channel. The receiver
/// is dropped when the caller goes away, which the sender notices.
#[must_use]
pub fn streamed(status: StatusCode, content_type: &'static str, chunks: Receiver<Bytes>) -> Reply {
    let frames = chunks.map(|chunk| Ok::<_, Infallible>(Frame::data(chunk)));
    let mut reply = Response::new(BodyExt::boxed(StreamBody::new(SyncStream(Box::pin(
        frames,
    )))));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// Reads a whole body of at most `limit`.
pub async fn read_body<B>(body: B, limit: units::Bytes) -> Result<Bytes, http::HttpError>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit.as_usize()).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => Err(http::HttpError::TooLarge),
        Err(err) => Err(http::HttpError::Broken(err.to_string().into())),
    }
}

/// Lets a stream that is only `Send` be used where the library asks for `Sync`;
/// it is polled through `&mut` only.
struct SyncStream<S>(S);

impl<S: smol::stream::Stream + Unpin> smol::stream::Stream for SyncStream<S> {
    type Item = S::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        std::pin::Pin::new(&mut self.0).poll_next(cx)
    }
}
