//! How busy a service is, by how late its answers begin.

use std::time::Duration;

/// Weight of a new answer in the running mean.
const MEAN_WEIGHT: f64 = 0.05;

/// Running mean of the time to the first event, as a part of the objective.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure(f64);

impl Pressure {
    /// Counts an answer that began after `first`.
    pub fn add(&mut self, first: Duration, objective: Duration) {
        let part = first.as_secs_f64() / objective.as_secs_f64().max(0.001);
        self.0 = MEAN_WEIGHT.mul_add(part - self.0, self.0);
    }

    /// The mean: 1 where answers begin just in time.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}
