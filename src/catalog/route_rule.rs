//! Routes from callers' requests to services.

use std::sync::Arc;

use crate::catalog;
use crate::ids;
use crate::units;

/// How often a request may be executed, and the form of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// May be executed more than once.
    Idempotent,
    /// Is executed at most once.
    NonIdempotent,
    /// Answered by a stream of events; executed at most once unless resumable.
    Stream {
        /// Whether a retry may continue after the last complete event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether the request may be retried although an earlier attempt may have executed it.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service of a route with its weight in the split of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service that receives the requests.
    pub service: ids::ServiceName,
    /// Weight relative to the sum over all services of the route.
    pub weight: u32,
}

/// A route: which requests it matches, which services they go to, and their limits.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route, as in log lines.
    pub name: ids::RouteName,
    /// Host of the requests that the route matches.
    pub host: Arc<str>,
    /// Prefix of the paths that the route matches; ends with a slash.
    pub path_prefix: Arc<str>,
    /// Services over which requests are split; at least one.
    pub services: Vec<WeightedService>,
    /// Whether requests may be retried and are streams.
    pub kind: CallKind,
    /// Maximum time to the end of the answer.
    pub timeout: units::Millis,
    /// Latency objective for the answer, or for the first event of a stream.
    pub objective: units::Millis,
    /// Latency objective for the gap between events; `None` if there is none.
    pub event_gap: Option<units::Millis>,
    /// Maximum number of endpoints that may execute one request.
    pub max_attempts: u16,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no API key.
    pub anonymous: bool,
    /// Models of the cascade, smallest first; empty if requests name no model or
    /// name it themselves.
    pub models: Vec<ids::ModelName>,
    /// Regions in which the requests may be executed.
    pub regions: catalog::AllowedRegions,
}

impl RouteRule {
    /// Selects the service for a request by an evenly distributed hash; `None`
    /// only without services.
    #[must_use]
    pub fn service_for(&self, hash: u64) -> Option<&ids::ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|weighted| u64::from(weighted.weight))
            .sum();
        let mut remaining = if total == 0 { 0 } else { hash % total };
        for weighted in &self.services {
            let weight = u64::from(weighted.weight);
            if remaining < weight {
                return Some(&weighted.service);
            }
            remaining -= weight;
        }
        self.services.first().map(|weighted| &weighted.service)
    }
}
