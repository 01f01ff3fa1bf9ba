//! Readiness probe of a direct entry.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};

use crate::gateway;
use crate::http;
use crate::runtime;

/// Handler of the platform's readiness probe: 200 if ready, else 503 with the reason.
#[derive(Debug)]
pub struct Readiness(pub Arc<gateway::Cx>);

impl http::Handler for Readiness {
    async fn handle(&self, _: Request<Incoming>) -> http::Reply {
        match self.0.readiness(runtime::Moment::now()) {
            Ok(()) => http::full(StatusCode::OK, "text/plain", "ready\n"),
            Err(reason) => http::full(
                StatusCode::SERVICE_UNAVAILABLE,
                "text/plain",
                reason.to_string(),
            ),
        }
    }
}
