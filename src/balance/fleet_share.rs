//! Share of this entry in the limits that apply to all entries together, such as the rate
//! of requests to a cold endpoint.
//!
//! Load pattern: endpoints return cold, or name a limit, while entries start, stop, freeze
//! or lose the store. The store divides numbered leases among the entries. What an entry
//! knows of its leases has an age, beyond which others may hold them.

use std::sync::Arc;
use std::time::Duration;

use crate::balance;
use crate::ids;
use crate::units;

/// Time for which a lease holds after the start of the call that confirmed it.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Part of its last share that an entry uses without a valid lease. The other entries may
/// have been assigned all leases by then. In an outage of the store for all entries,
/// endpoints with a limit still get this part of their load.
const EXPIRED_FRACTION: f64 = 0.5;
/// Share of the connections to an endpoint that an entry uses before it knows its own.
const INITIAL_CONNECTION_SHARE: f64 = 0.02;

/// State before the first assignment since the start of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct Unassigned;
/// State after an assignment.
#[derive(Clone, Debug, PartialEq)]
pub struct Assigned {
    leases: Arc<[ids::LeaseNumber]>,
    /// Number of leases of all entries.
    all: u32,
}

/// Share of this entry in the state `S`.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetShare<S> {
    state: S,
}

impl FleetShare<Unassigned> {
    const fn new() -> Self {
        Self { state: Unassigned }
    }

    fn begin(self, leases: Arc<[ids::LeaseNumber]>, all: u32) -> FleetShare<Assigned> {
        let Unassigned = self.state;
        FleetShare {
            state: Assigned { leases, all },
        }
    }
}

impl FleetShare<Assigned> {
    fn replace(mut self, leases: Arc<[ids::LeaseNumber]>, all: u32) -> Self {
        self.state = Assigned { leases, all };
        self
    }

    fn usable(&self, age: Duration) -> balance::HeldLeases {
        let fraction = if age < LEASE_DURATION {
            1.0
        } else {
            EXPIRED_FRACTION
        };
        let Assigned { leases, all } = &self.state;
        balance::HeldLeases::new(Arc::clone(leases), *all, units::Share::clamped(fraction))
    }

    fn share(&self) -> units::Share {
        let held = u32::try_from(self.state.leases.len()).unwrap_or(u32::MAX);
        units::Share::clamped(f64::from(held) / f64::from(self.state.all))
    }
}

/// Share of this entry in any state.
#[derive(Clone, Debug, PartialEq)]
pub enum AnyFleetShare {
    /// Nothing was assigned since the start of the process.
    Unassigned(FleetShare<Unassigned>),
    /// Leases were assigned; they may have expired.
    Assigned(FleetShare<Assigned>),
}

impl Default for AnyFleetShare {
    fn default() -> Self {
        Self::Unassigned(FleetShare::new())
    }
}

impl AnyFleetShare {
    /// Returns the state after these of `all` leases were assigned, in order of their numbers.
    #[must_use]
    pub fn assign(self, leases: Arc<[ids::LeaseNumber]>, all: u32) -> Self {
        match self {
            Self::Unassigned(unassigned) => Self::Assigned(unassigned.begin(leases, all)),
            Self::Assigned(assigned) => Self::Assigned(assigned.replace(leases, all)),
        }
    }

    /// Returns the leases by which this entry gets its part of a rate over all entries. `age`
    /// is the time since they were last confirmed; `None` before the first time.
    #[must_use]
    pub fn leases(&self, age: Option<Duration>) -> balance::HeldLeases {
        match (self, age) {
            (Self::Assigned(assigned), Some(age)) => assigned.usable(age),
            _ => balance::HeldLeases::default(),
        }
    }

    /// Returns the share of the connections to an endpoint. Open connections outlast a
    /// lease, so the last share stays in use.
    #[must_use]
    pub fn of_connections(&self) -> units::Share {
        match self {
            Self::Unassigned(_) => units::Share::clamped(INITIAL_CONNECTION_SHARE),
            Self::Assigned(assigned) => assigned.share(),
        }
    }
}
