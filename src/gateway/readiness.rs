//! Whether this entry takes callers.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};

use crate::gateway;
use crate::http;
use crate::runtime;

/// Part of the bound on withdrawn keys after which the configuration is too
/// old to send callers here: keyed requests will soon be refused.
const READY_PART: f64 = 0.6;

/// Answers the platform's question for readiness.
#[derive(Debug)]
pub struct Readiness(pub Arc<gateway::Cx>);

impl Readiness {
    fn state(&self) -> Result<(), &'static str> {
        let now = runtime::Moment::now();
        let snapshot = self.0.control.snapshot();
        if self.0.stopping_for(now).is_some() {
            return Err("stopping");
        }
        if snapshot.deployment.is_none() {
            return Err("no configuration");
        }
        let revoke = self.0.settings().bounds.revoke;
        let is_old = revoke.is_some_and(|revoke| {
            let limit = revoke.duration().mul_f64(READY_PART);
            snapshot.freshness.age(now).is_none_or(|age| age > limit)
        });
        if is_old {
            return Err("configuration too old");
        }
        if !snapshot.can_serve() {
            return Err("no endpoints");
        }
        Ok(())
    }
}

impl http::Handler for Readiness {
    async fn handle(&self, _: Request<Incoming>) -> http::Reply {
        match self.state() {
            Ok(()) => http::full(StatusCode::OK, "text/plain", "ready\n"),
            Err(reason) => http::full(StatusCode::SERVICE_UNAVAILABLE, "text/plain", reason),
        }
    }
}
