//! Share of this entry in the limits that apply to all entries together, such as the rate
//! of requests to a cold endpoint.
//!
//! Load pattern: endpoints return cold while entries start, stop, freeze or lose the store.
//! The store divides the limits into leases. What an entry knows of its leases has an age,
//! beyond which others may hold them.

use std::time::Duration;

use crate::units;

/// Time for which a lease holds after the start of the call that confirmed it.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Part of its last share that an entry uses without a valid lease. The other entries may
/// have been assigned all leases by then. In an outage of the store for all entries, cold
/// endpoints still get this part of their load.
const EXPIRED_FRACTION: f64 = 0.5;
/// Share of the connections to an endpoint that an entry uses before it knows its own.
const INITIAL_CONNECTION_SHARE: f64 = 0.02;

/// State before the first assignment since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Unassigned;
/// State after an assignment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assigned {
    share: units::Share,
}

/// Share of this entry in the state `S`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetShare<S> {
    state: S,
}

impl FleetShare<Unassigned> {
    const fn new() -> Self {
        Self { state: Unassigned }
    }
}

impl FleetShare<Assigned> {
    const fn begin(_: FleetShare<Unassigned>, share: units::Share) -> Self {
        Self {
            state: Assigned { share },
        }
    }

    const fn replace(mut self, share: units::Share) -> Self {
        self.state.share = share;
        self
    }

    fn usable(self, age: Duration) -> units::Share {
        if age < LEASE_DURATION {
            self.state.share
        } else {
            units::Share::clamped(self.state.share.get() * EXPIRED_FRACTION)
        }
    }
}

/// Share of this entry in any state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnyFleetShare {
    /// Nothing was assigned since the start of the process.
    Unassigned(FleetShare<Unassigned>),
    /// A share was assigned; its leases may have expired.
    Assigned(FleetShare<Assigned>),
}

impl Default for AnyFleetShare {
    fn default() -> Self {
        Self::Unassigned(FleetShare::new())
    }
}

impl AnyFleetShare {
    /// Returns the state after this share was assigned.
    #[must_use]
    pub const fn assign(self, share: units::Share) -> Self {
        match self {
            Self::Unassigned(unassigned) => Self::Assigned(FleetShare::begin(unassigned, share)),
            Self::Assigned(assigned) => Self::Assigned(assigned.replace(share)),
        }
    }

    /// Returns the share of the rate of requests to a cold endpoint. `age` is the time since
    /// the leases were last confirmed.
    #[must_use]
    pub fn of_cold_rate(self, age: Option<Duration>) -> units::Share {
        match (self, age) {
            (Self::Assigned(assigned), Some(age)) => assigned.usable(age),
            _ => units::Share::clamped(0.0),
        }
    }

    /// Returns the share of the connections to an endpoint. Open connections outlast a
    /// lease, so the last share stays in use.
    #[must_use]
    pub fn of_connections(self) -> units::Share {
        match self {
            Self::Unassigned(_) => units::Share::clamped(INITIAL_CONNECTION_SHARE),
            Self::Assigned(assigned) => assigned.state.share,
        }
    }
}
