//! How long the endpoint takes for a request.

use std::time::Duration;

/// Weight of a new sample is one in this many.
const SMOOTHING: u32 = 8;

/// The smoothed time for which a request holds its place.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime(Option<Duration>);

impl ServiceTime {
    /// Learns the time of an answered request.
    pub fn learn(&mut self, took: Duration) {
        self.0 = Some(match self.0 {
            None => took,
            Some(mean) => (mean * (SMOOTHING - 1) + took) / SMOOTHING,
        });
    }

    /// Time until the request behind `ahead` others gets one of `limit` busy
    /// places; zero while nothing is known.
    #[must_use]
    pub fn wait(&self, ahead: usize, limit: u32) -> Duration {
        let turns = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        self.0
            .map_or(Duration::ZERO, |mean| mean.saturating_mul(turns))
            / limit.max(1)
    }
}
