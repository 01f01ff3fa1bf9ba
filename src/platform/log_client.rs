//! Client of the append-only log.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request};

use crate::http;
use crate::ids;
use crate::platform;
use crate::runtime;
use crate::units;

/// Time for an append; the log takes tens of milliseconds when healthy.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Time beyond the long-poll wait for a read.
const READ_MARGIN: Duration = Duration::from_secs(3);
/// Largest answer to a read.
const MAX_PAGE: units::Bytes = units::Bytes(16 * 1_024 * 1_024);
/// Records asked for in one read.
const PAGE_RECORDS: usize = 500;

/// Client of the log; clones share connections.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: http::Client,
}

impl LogClient {
    /// A client of the log at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, traffic: runtime::Traffic) -> Self {
        Self {
            http: http::Client::new(addr, traffic),
        }
    }

    /// Appends records in order; they get consecutive offsets or none.
    pub async fn append(
        &self,
        stream: platform::Stream,
        records: &[serde_json::Value],
    ) -> Result<platform::Append, platform::PlatformError> {
        let body = serde_json::json!({ "records": records }).to_string();
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("/streams/{stream}/records"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| http::HttpError::NotSent(err.to_string().into()))?;
        self.exchange(req, APPEND_TIMEOUT).await
    }

    /// Reads records from `from` on; waits up to `wait` where there is none yet.
    pub async fn read(
        &self,
        stream: platform::Stream,
        from: ids::Offset,
        wait: Duration,
    ) -> Result<platform::Page, platform::PlatformError> {
        let wait_ms = wait.as_millis();
        let req = Request::builder()
            .uri(format!(
                "/streams/{stream}/records?from={from}&max={PAGE_RECORDS}&wait_ms={wait_ms}"
            ))
            .body(Full::default())
            .map_err(|err| http::HttpError::NotSent(err.to_string().into()))?;
        self.exchange(req, wait + READ_MARGIN).await
    }

    /// The time limit covers the body too, since the log may stall after its head.
    async fn exchange<T: serde::de::DeserializeOwned>(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<T, platform::PlatformError> {
        let deadline = Instant::now() + timeout;
        let exchange = async {
            let answer = self.http.send(req, timeout).await?;
            decode(answer).await
        };
        runtime::timeout_at(deadline, exchange).await.unwrap_or(Err(
            platform::PlatformError::Unknown(http::HttpError::TimedOut),
        ))
    }
}

async fn decode<T: serde::de::DeserializeOwned>(
    answer: http::Answer,
) -> Result<T, platform::PlatformError> {
    if !answer.status.is_success() {
        return Err(platform::PlatformError::Status(answer.status.as_u16()));
    }
    Ok(answer.json(MAX_PAGE).await?)
}
