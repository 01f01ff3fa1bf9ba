//! How long a request takes a slot at each endpoint of a service.
//!
//! Load pattern: endpoints of uneven speed with queues. The time to an answer grows with the
//! queue; the work itself does not, and the queue is known from the load report.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Maximum number of endpoints; beyond it those that are gone are forgotten with the others.
const MAX_ENDPOINTS: usize = 4_096;

/// Moving averages of the time for which a request takes a slot, by endpoint.
#[derive(Debug, Default)]
pub struct WorkTimes {
    means_s: HashMap<ids::EndpointId, f64>,
}

impl WorkTimes {
    /// Records an answer that took `total`. `load` is the number of requests that were at
    /// the endpoint when this one was sent.
    pub fn record(&mut self, endpoint: &ids::EndpointId, total: Duration, load: u32, slots: u32) {
        let rounds = f64::from(load.saturating_add(1)) / f64::from(slots.max(1));
        let sample = total.as_secs_f64() / rounds.max(1.0);
        if let Some(mean) = self.means_s.get_mut(endpoint) {
            *mean = SAMPLE_WEIGHT.mul_add(sample - *mean, *mean);
            return;
        }
        if self.means_s.len() >= MAX_ENDPOINTS {
            self.means_s.clear();
        }
        self.means_s.insert(endpoint.clone(), sample);
    }

    /// Returns the mean of the endpoint; `None` before its first answer.
    #[must_use]
    pub fn get(&self, endpoint: &ids::EndpointId) -> Option<Duration> {
        let mean = self.means_s.get(endpoint)?;
        Some(Duration::from_secs_f64(*mean))
    }
}

/// Returns how long a request waits for a slot at an endpoint with this load.
#[must_use]
pub fn expected_wait(load: u32, slots: u32, work: Duration) -> Duration {
    let queued = load.saturating_add(1).saturating_sub(slots);
    work.saturating_mul(queued) / slots.max(1)
}
