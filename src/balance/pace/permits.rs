//! Rate limit on the requests that one entry sends to a cold endpoint.
//!
//! Load pattern: endpoints return cold during a burst, and all entries have requests for
//! them at once. Entries do not coordinate, so a permit that is not used soon lapses:
//! otherwise the permits of all idle entries could be spent within the same second.

use std::time::Duration;

use crate::ids;
use crate::route;
use crate::runtime;
use crate::units;

/// Time for which a permit can be used.
const PERMIT_VALIDITY_MS: f64 = 250.0;

/// Limit on the requests of one entry to a cold endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ColdLimit {
    /// Requests per second to each cold endpoint.
    pub rate: units::Rate,
    /// Fingerprint of the entry. The permits of different entries for the same endpoint
    /// are issued at different times.
    pub entry: ids::Fingerprint,
}

impl ColdLimit {
    /// Time between two permits in milliseconds; `None` if no request is allowed.
    fn period_ms(&self) -> Option<f64> {
        let rate = self.rate.get();
        (rate > 0.0).then(|| 1_000.0 / rate)
    }

    /// Delay of the first permit for an endpoint, as a fraction of the period.
    #[allow(clippy::cast_precision_loss)]
    fn phase(&self, endpoint: &ids::EndpointId) -> f64 {
        route::rank_of(self.entry, endpoint.as_str()) as f64 / u64::MAX as f64
    }
}

/// Issues permits for requests to one endpoint, at even intervals while it is cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct Permits {
    /// `None` while the endpoint is warm.
    schedule: Option<Schedule>,
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
    /// Returns how long a request to the cold endpoint has to wait for a permit; `None` if
    /// no request is allowed.
    pub fn delay(
        &mut self,
        limit: &ColdLimit,
        endpoint: &ids::EndpointId,
        now: runtime::Moment,
    ) -> Option<Duration> {
        let period_ms = limit.period_ms()?;
        #[allow(clippy::cast_precision_loss)]
        let now_ms = now.as_millis() as f64;
        let schedule = self
            .schedule
            .get_or_insert_with(|| Schedule::new(limit.phase(endpoint), period_ms, now_ms));
        schedule.set_period(period_ms, now_ms);
        schedule.drop_lapsed(now_ms);
        let delay_s = (schedule.next_ms - now_ms).max(0.0) / 1_000.0;
        Some(Duration::try_from_secs_f64(delay_s).unwrap_or(Duration::MAX))
    }

    /// Takes the permit of a sent request; has no effect while the endpoint is warm.
    pub fn take(&mut self) {
        if let Some(schedule) = &mut self.schedule {
            schedule.next_ms += schedule.period_ms;
        }
    }

    /// Ends the limit, as the endpoint is warm.
    pub fn lift(&mut self) {
        self.schedule = None;
    }
}
