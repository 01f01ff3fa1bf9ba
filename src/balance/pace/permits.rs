//! Rate limit on the requests that one entry sends to an endpoint with a rate for all entries.
//!
//! Load pattern: endpoints return cold during a burst, or name a limit, and all entries have
//! requests for them at once. A permit that is not used soon lapses: otherwise the permits of
//! all idle entries could be spent within the same second.

use std::time::Duration;

use crate::balance;
use crate::ids;
use crate::route;
use crate::runtime;
use crate::units;

/// Time for which a permit can be used.
const PERMIT_VALIDITY_MS: f64 = 250.0;

/// Rates of requests over all entries, and what this entry may use of them.
#[derive(Clone, Debug, Default)]
pub struct SharedRates {
    /// Requests per second to each cold endpoint; `None` where cold endpoints have no limit.
    pub cold: Option<units::Rate>,
    /// Leases of this entry.
    pub leases: balance::HeldLeases,
    /// Fingerprint of the entry. The permits of different entries for the same endpoint
    /// are issued at different times.
    pub entry: ids::Fingerprint,
}

impl SharedRates {
    /// Delay of the first permit for an endpoint, as a fraction of the period.
    #[allow(clippy::cast_precision_loss)]
    fn phase(&self, endpoint: &ids::EndpointId) -> f64 {
        route::rank_of(self.entry, endpoint.as_str()) as f64 / u64::MAX as f64
    }
}

/// Issues permits for requests to one endpoint, at even intervals while it has a rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Permits {
    /// `None` while the endpoint has no rate, or this entry has no part of it.
    schedule: Option<Schedule>,
    /// Whether the endpoint has a rate of which this entry had no part when last asked.
    is_without_part: bool,
}

/// Times of the permits, in milliseconds as of [`runtime::Moment`].
#[derive(Clone, Copy, Debug)]
struct Schedule {
    /// Time at which the oldest unused permit is issued.
    next_ms: f64,
    period_ms: f64,
}

impl Schedule {
    /// Starts with the last permit before now.
    fn new(phase: f64, period_ms: f64, now_ms: f64) -> Self {
        Self {
            next_ms: now_ms - (now_ms - phase * period_ms).rem_euclid(period_ms),
            period_ms,
        }
    }

    /// Starts a period from now, as the entry that held the lease before may just have sent
    /// a request.
    fn after_another(period_ms: f64, now_ms: f64) -> Self {
        Self {
            next_ms: now_ms + period_ms,
            period_ms,
        }
    }

    /// Changes the interval. The time left until the next permit changes with it.
    fn set_period(&mut self, period_ms: f64, now_ms: f64) {
        let left = (self.next_ms - now_ms).max(0.0);
        self.next_ms -= left;
        self.next_ms += left * period_ms / self.period_ms;
        self.period_ms = period_ms;
    }

    fn drop_lapsed(&mut self, now_ms: f64) {
        let overdue = now_ms - PERMIT_VALIDITY_MS - self.next_ms;
        if overdue > 0.0 {
            self.next_ms += (overdue / self.period_ms).ceil() * self.period_ms;
        }
    }
}

impl Permits {
    /// Returns how long a request to the endpoint has to wait for a permit, where all entries
    /// together may send it requests at this rate; `None` if this entry has no part of it.
    pub fn delay(
        &mut self,
        rate: units::Rate,
        rates: &SharedRates,
        endpoint: &ids::EndpointId,
        now: runtime::Moment,
    ) -> Option<Duration> {
        let part = rates.leases.part(rate, endpoint).get();
        if part <= 0.0 {
            self.schedule = None;
            self.is_without_part = true;
            return None;
        }
        let period_ms = 1_000.0 / part;
        #[allow(clippy::cast_precision_loss)]
        let now_ms = now.as_millis() as f64;
        let schedule = self.schedule.get_or_insert_with(|| {
            if std::mem::take(&mut self.is_without_part) {
                Schedule::after_another(period_ms, now_ms)
            } else {
                Schedule::new(rates.phase(endpoint), period_ms, now_ms)
            }
        });
        schedule.set_period(period_ms, now_ms);
        schedule.drop_lapsed(now_ms);
        let delay_s = (schedule.next_ms - now_ms).max(0.0) / 1_000.0;
        Some(Duration::try_from_secs_f64(delay_s).unwrap_or(Duration::MAX))
    }

    /// Takes the permit of a sent request; has no effect while the endpoint has no rate.
    pub fn take(&mut self) {
        if let Some(schedule) = &mut self.schedule {
            schedule.next_ms += schedule.period_ms;
        }
    }

    /// Ends the limit, as the endpoint has no rate any more.
    pub fn lift(&mut self) {
        *self = Self::default();
    }
}
