//! Places that a request may use, over all endpoints of its service.
//!
//! Load pattern: a service whose endpoints are fewer, slower or fuller than its callers need.

use std::time::Duration;

use crate::room;
use crate::runtime;
use crate::units;

/// Assumed time in a place before a service has answered: that of a plain request.
const DEFAULT_WORK: Duration = Duration::from_millis(40);
/// Shortest time in a place that is counted.
const MIN_WORK: Duration = Duration::from_millis(1);

/// What an entry knows of the places at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// When it takes another request.
    pub opening: room::Opening,
    /// Requests that it executes concurrently.
    pub slots: u32,
    /// Expected time for which a request takes one of them; `None` before the first answer.
    pub work: Option<Duration>,
    /// Expected wait for a slot there, by its load report; zero without one.
    pub wait: Duration,
    /// Age of its load report; `None` without a current one.
    pub report_age: Option<Duration>,
}

/// Places that a request may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Number of endpoints that take a request now.
    pub open: usize,
    /// Number of endpoints of which nothing tells when they are back.
    pub unknown: usize,
    /// Number of endpoints that take a request only where no other does.
    pub last_resort: usize,
    /// Number of all endpoints that the request may use.
    pub total: usize,
    /// Earliest time at which one that is not open is expected to be; `None` if none is.
    pub next: Option<runtime::Moment>,
    /// Shortest expected wait for a slot at an endpoint that is open, or else expected to be.
    pub wait: Duration,
    /// Expected time for which a request takes a place.
    pub work: Duration,
    /// Time between two places that are left for this entry's requests, by its share of
    /// the places that are open or expected; at most `work`.
    pub gap: Duration,
    /// Age of the oldest load report behind the figures; `None` without any.
    pub report_age: Option<Duration>,
}

impl Supply {
    /// Sums the places up. `share` is the part of them that this entry may count on.
    #[must_use]
    pub fn new(places: &[Place], share: units::Share) -> Self {
        use room::Opening::{At, LastResort, Never, Now, Unknown};
        let count = |wanted: fn(&room::Opening) -> bool| {
            places.iter().filter(|place| wanted(&place.opening)).count()
        };
        let usable = || {
            let is_usable =
                |place: &&Place| matches!(place.opening, Now | At(_) | LastResort(Some(_)));
            places.iter().filter(is_usable)
        };
        let next = places.iter().filter_map(|place| match place.opening {
            At(at) | LastResort(Some(at)) => Some(at),
            Now | LastResort(None) | Unknown | Never => None,
        });
        let is_open = |place: &&Place| matches!(place.opening, Now);
        let open_wait = places.iter().filter(is_open).map(|place| place.wait).min();
        let wait = open_wait.or_else(|| usable().map(|place| place.wait).min());
        let (sum, known) = usable()
            .filter_map(|place| place.work)
            .fold((Duration::ZERO, 0), |(sum, n), work| (sum + work, n + 1));
        let work = sum.checked_div(known).unwrap_or(DEFAULT_WORK).max(MIN_WORK);
        let slots: f64 = usable().map(|place| f64::from(place.slots)).sum();
        // Many entries share few places, but most have no request at the moment.
        let own_slots = (slots * share.get()).max(1.0);
        Self {
            open: count(|opening| matches!(opening, Now)),
            unknown: count(|opening| matches!(opening, Unknown)),
            last_resort: count(|opening| matches!(opening, LastResort(_))),
            total: places.len(),
            next: next.min(),
            wait: wait.unwrap_or_default(),
            work,
            gap: work.div_f64(own_slots),
            report_age: usable().filter_map(|place| place.report_age).max(),
        }
    }

    /// Returns whether no endpoint is open or expected to be.
    #[must_use]
    pub const fn is_absent(&self) -> bool {
        self.open == 0 && self.next.is_none()
    }

    /// Returns whether the choice would try an endpoint that may not be well.
    #[must_use]
    pub const fn has_last_resort_only(&self) -> bool {
        self.open == 0 && self.last_resort > 0
    }

    /// Returns the time until the first place, not counting requests that wait already;
    /// `None` if none is expected.
    #[must_use]
    pub fn first_place(&self, now: runtime::Moment) -> Option<Duration> {
        if self.open > 0 {
            return Some(Duration::ZERO);
        }
        self.next.map(|at| at.saturating_since(now))
    }
}
