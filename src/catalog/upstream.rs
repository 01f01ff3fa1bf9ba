//! Services whose endpoints are called without sidecars.

use std::time::Duration;

use crate::ids;
use crate::units;

/// Limits for the cold endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long an endpoint is cold after its start.
    pub duration: units::Millis,
    /// Requests per second that a cold endpoint may get from all entries together.
    pub rate: units::Rate,
}

/// A service with the limits that hold for each of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name of the service, as in routes and endpoint records.
    pub name: ids::ServiceName,
    /// Maximum number of connections to an endpoint, from all callers together.
    pub max_connections: u32,
    /// Limits for cold endpoints; `None` if a new endpoint takes full load at once.
    pub cold_start: Option<ColdStart>,
    /// Whether the endpoints are model engines, which report their status on request.
    pub is_engine: bool,
}

impl Upstream {
    /// How long an endpoint is cold after its start; zero without cold-start limits.
    #[must_use]
    pub fn cold_duration(&self) -> Duration {
        self.cold_start
            .map_or(Duration::ZERO, |cold| cold.duration.duration())
    }
}
