//! Division of a rate of requests to one endpoint among the entries, by the leases that they
//! hold.
//!
//! Load pattern: an endpoint takes few requests a second from dozens to hundreds of entries.
//! Equal parts would be less than a request in many seconds each, and the sum over a short
//! time would depend on when the entries send. So the rate goes to the holders of a few
//! leases, which all entries draw alike. Each holder sends at most one request more than its
//! part of the rate in any time, so few draws keep the sum close to the rate.

use std::sync::Arc;

use crate::ids;
use crate::route;
use crate::units;

/// Draws for a rate near zero; more than one, so that an endpoint is not left idle with the
/// entry that holds a lease.
const MIN_DRAWS: f64 = 2.0;
/// Further draws for each request per second.
const DRAWS_PER_RATE: f64 = 0.5;
/// Most draws; beyond, the parts are close to equal.
const MAX_DRAWS: f64 = 64.0;

/// Leases that an entry holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldLeases {
    /// In order of their numbers.
    held: Arc<[ids::LeaseNumber]>,
    /// Number of leases of all entries; 0 where it is not known.
    all: u32,
    /// Part that may be used of what the leases stand for; below 1 once they have expired.
    usable: units::Share,
}

impl HeldLeases {
    /// Creates the set of these of `all` leases, which must be in order of their numbers.
    #[must_use]
    pub const fn new(held: Arc<[ids::LeaseNumber]>, all: u32, usable: units::Share) -> Self {
        Self { held, all, usable }
    }

    /// Returns this entry's part of a rate of requests to an endpoint. The parts of all
    /// entries add up to the rate while each lease has one holder.
    #[must_use]
    pub fn part(&self, rate: units::Rate, endpoint: &ids::EndpointId) -> units::Rate {
        let draws = (rate.get().mul_add(DRAWS_PER_RATE, MIN_DRAWS))
            .min(MAX_DRAWS)
            .floor();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let count = draws as u32;
        let held = (0..count)
            .filter(|draw| self.holds(*draw, endpoint))
            .count();
        let held = u32::try_from(held).unwrap_or(count);
        units::Rate::clamped(rate.get() * f64::from(held) / draws * self.usable.get())
    }

    /// Returns whether this entry holds the first lease that is drawn for an endpoint.
    #[must_use]
    pub fn is_first(&self, endpoint: &ids::EndpointId) -> bool {
        self.holds(0, endpoint)
    }

    fn holds(&self, draw: u32, endpoint: &ids::EndpointId) -> bool {
        let seed = ids::Fingerprint::fnv1a(endpoint.as_str());
        let drawn = route::mix(seed.0 ^ u64::from(draw)).checked_rem(u64::from(self.all));
        let number = drawn.and_then(|drawn| u32::try_from(drawn).ok());
        number.is_some_and(|number| self.held.binary_search(&ids::LeaseNumber(number)).is_ok())
    }
}
