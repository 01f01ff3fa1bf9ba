//! Services whose endpoints an entry calls itself.

use std::time::Duration;

use crate::ids;
use crate::units;

/// What a cold endpoint of a service bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long an endpoint is cold after its start.
    pub duration: units::Millis,
    /// Requests a second that it bears meanwhile, from all entries together.
    pub rate: units::Rate,
}

/// A service with the limits of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name of the service.
    pub name: ids::ServiceName,
    /// Connections that an endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Limits of cold endpoints; `None` where a cold start needs no care.
    pub cold_start: Option<ColdStart>,
}

impl Upstream {
    /// How long an endpoint is cold after its start; zero where that needs no care.
    #[must_use]
    pub fn cold_span(&self) -> Duration {
        self.cold_start
            .map_or(Duration::ZERO, |cold| cold.duration.duration())
    }
}
