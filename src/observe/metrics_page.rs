//! HTTP handler of `/metrics`; roles without an operations address serve it on its own.

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};

use crate::http;
use crate::observe;

/// Content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// HTTP handler that serves only `GET /metrics`.
#[derive(Clone, Copy, Debug)]
pub struct MetricsHandler;

impl MetricsHandler {
    /// Returns the metrics of this process as a response; status 500 where they cannot be encoded.
    #[must_use]
    pub fn reply() -> http::Reply {
        match observe::metrics().text() {
            Ok(text) => http::full(StatusCode::OK, METRICS_TYPE, text),
            Err(err) => http::full(
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/plain",
                err.to_string(),
            ),
        }
    }
}

impl http::Handler for MetricsHandler {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/metrics") => Self::reply(),
            _ => http::not_found(),
        }
    }
}
