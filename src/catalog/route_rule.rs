//! Routes of callers' requests to services.

use std::sync::Arc;

use crate::ids;
use crate::units;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by events; runs at most once unless it may be resumed.
    Stream {
        /// Whether another run may go on after the last complete event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether the request may be sent again after it may have run.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ids::ServiceName,
    /// Part of the requests, relative to the other services of the route.
    pub weight: u32,
}

/// One route: which requests it takes, where they go and within which bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: ids::RouteName,
    /// Host to which the request is addressed.
    pub host: Arc<str>,
    /// Start of the paths that the route takes; ends with a slash.
    pub path_prefix: Arc<str>,
    /// Services, at least one.
    pub services: Vec<WeightedService>,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time to the end of the answer.
    pub timeout: units::Millis,
    /// Time within which an answer, or its first event, is on time.
    pub objective: units::Millis,
    /// Longest pause between events that is on time.
    pub event_gap: Option<units::Millis>,
    /// Most endpoints that may run one request.
    pub max_attempts: u16,
    /// Rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether no key is needed.
    pub anonymous: bool,
    /// Models among which the router chooses, smallest first; empty where
    /// requests name no model or name it themselves.
    pub models: Vec<ids::ModelName>,
}

impl RouteRule {
    /// The service for a request, by a hash that is spread evenly.
    #[must_use]
    pub fn service_for(&self, hash: u64) -> Option<&ids::ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|part| u64::from(part.weight))
            .sum();
        let mut at = if total == 0 { 0 } else { hash % total };
        for part in &self.services {
            let weight = u64::from(part.weight);
            if at < weight {
                return Some(&part.service);
            }
            at -= weight;
        }
        self.services.first().map(|part| &part.service)
    }
}
