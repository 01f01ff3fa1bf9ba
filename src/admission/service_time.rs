//! Estimate of the time that the endpoint takes for a request.

use std::time::Duration;

/// Divisor of the moving average: a new sample weighs 1/8.
const SMOOTHING_DIVISOR: u32 = 8;

/// Smoothed time for which a request holds its slot; `None` before the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime(Option<Duration>);

impl ServiceTime {
    /// Records the time that an answered request took.
    pub fn record(&mut self, elapsed: Duration) {
        self.0 = Some(match self.0 {
            None => elapsed,
            Some(mean) => (mean * (SMOOTHING_DIVISOR - 1) + elapsed) / SMOOTHING_DIVISOR,
        });
    }

    /// Returns the time until the request behind `ahead` others gets one of `limit` busy
    /// slots; zero before the first sample.
    #[must_use]
    pub fn wait(&self, ahead: usize, limit: u32) -> Duration {
        let turns = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        self.0
            .map_or(Duration::ZERO, |mean| mean.saturating_mul(turns))
            / limit.max(1)
    }
}
