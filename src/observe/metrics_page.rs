//! The metrics as a page of their own, for roles without an operations address.

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};

use crate::http;
use crate::observe;

/// Text format of Prometheus.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Answers `GET /metrics`.
#[derive(Clone, Copy, Debug)]
pub struct MetricsPage;

impl MetricsPage {
    /// All metrics as a response.
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

impl http::Handler for MetricsPage {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/metrics") => Self::reply(),
            _ => http::not_found(),
        }
    }
}
