//! Reading of request bodies from outside.

use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::http::Extensions;
use smol::future::FutureExt;

use crate::errors;
use crate::http;
use crate::http::request_slot;
use crate::runtime;
use crate::settings;
use crate::units;

/// `Retry-After` of requests for which there is no memory: the time after which a request
/// without progress gives way to others.
pub const MEMORY_RETRY_AFTER: units::Millis = units::Millis(1_000);

/// Reads a request body. Fails with the refusal for the caller if it exceeds the limits
/// on size or time. `extensions` are those of the request.
pub async fn read_request_body(
    body: Incoming,
    extensions: &Extensions,
    limits: settings::Limits,
) -> Result<Bytes, errors::Refusal> {
    let deadline = Instant::now() + limits.send_timeout_ms.duration();
    let stall = limits.body_stall_ms.duration();
    let receive = receive_body(body, extensions, limits.body_bytes, stall);
    let (code, reason) = match runtime::timeout_at(deadline, receive).await {
        Some(Ok(body)) => return Ok(body),
        Some(Err(http::HttpError::TooLarge)) => (
            errors::ResultCode::BodyTooLarge,
            format!("the body is over {}", limits.body_bytes),
        ),
        Some(Err(http::HttpError::OverBudget)) => {
            let code = errors::ResultCode::Overloaded;
            let refusal = errors::Refusal::new(code, "there is no memory for the body now");
            return Err(refusal.with_retry_after(MEMORY_RETRY_AFTER));
        }
        Some(Err(http::HttpError::TimedOut)) | None => (
            errors::ResultCode::SlowRequest,
            "the body was not sent in time".into(),
        ),
        Some(Err(err)) => (errors::ResultCode::MalformedRequest, err.to_string()),
    };
    Err(errors::Refusal::new(code, reason))
}

/// Reads a request body completely. Fails if it is larger than `limit`, if it finds no
/// memory, or if it makes no progress for `stall` or, while memory is short, for a shorter
/// time. If it finds no memory, the rest is discarded, as a peer that still sends may miss
/// the answer. `extensions` are those of the request.
pub async fn receive_body(
    mut body: Incoming,
    extensions: &Extensions,
    limit: units::Bytes,
    stall: Duration,
) -> Result<Bytes, http::HttpError> {
    let reading = extensions
        .get::<request_slot::UnreadBody>()
        .cloned()
        .map(request_slot::UnreadBody::begin);
    let result = collect(&mut body, reading.as_ref(), limit, stall).await;
    if matches!(result, Err(http::HttpError::OverBudget)) {
        if let Some(reading) = &reading {
            reading.set_held(0);
        }
        while let Ok(Some(_)) = next_chunk(&mut body, reading.as_ref(), stall).await {}
    }
    result
}

async fn collect(
    body: &mut Incoming,
    reading: Option<&request_slot::BodyReading>,
    limit: units::Bytes,
    stall: Duration,
) -> Result<Bytes, http::HttpError> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let budget = reading.and_then(request_slot::BodyReading::budget);
    let mut buffer = http::BodyBuffer::new(limit, budget);
    reserve(&mut buffer, stated, reading).await?;
    while let Some(chunk) = next_chunk(body, reading, stall).await? {
        reserve(&mut buffer, chunk.len(), reading).await?;
        buffer.push(&chunk)?;
    }
    Ok(buffer.into_bytes())
}

/// Makes the buffer large enough for `additional` bytes; where memory is short, at the
/// expense of connections that make no progress.
async fn reserve(
    buffer: &mut http::BodyBuffer,
    additional: usize,
    reading: Option<&request_slot::BodyReading>,
) -> Result<(), http::HttpError> {
    let mut result = buffer.reserve(additional);
    if let Some(reading) = reading {
        if result == Err(http::HttpError::OverBudget) {
            let need = buffer.shortfall(additional);
            let attempt = || {
                result = buffer.reserve(additional);
                result != Err(http::HttpError::OverBudget)
            };
            reading.make_room(need, attempt).await;
        }
        reading.set_held(buffer.capacity());
    }
    result
}

/// Returns the next part of the body; `None` at its end.
async fn next_chunk(
    body: &mut Incoming,
    reading: Option<&request_slot::BodyReading>,
    stall: Duration,
) -> Result<Option<Bytes>, http::HttpError> {
    loop {
        let next = runtime::timeout_at(Instant::now() + stall, body.frame());
        let next = async {
            let next = next.await;
            if next.is_none()
                && let Some(reading) = reading
            {
                reading.record_stall();
            }
            next
        };
        let evicted = async {
            match reading {
                Some(reading) => reading.evicted().await,
                None => std::future::pending().await,
            }
            None
        };
        // Polled first: an evicted request must not go on, since its connection closes.
        match evicted.or(next).await {
            None => return Err(http::HttpError::TimedOut),
            Some(None) => return Ok(None),
            Some(Some(Err(err))) => return Err(http::HttpError::Broken(err.to_string().into())),
            Some(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}
