//! Load of a service, measured by how late its answers begin.

use std::time::Duration;

/// Weight of a new answer in the moving average.
const MEAN_WEIGHT: f64 = 0.05;

/// Moving average of the time to first event, as a fraction of the latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure(f64);

impl Pressure {
    /// Adds an answer that began after `first`; an objective below 1 ms counts as 1 ms.
    pub fn add(&mut self, first: Duration, objective: Duration) {
        let fraction = first.as_secs_f64() / objective.as_secs_f64().max(0.001);
        self.0 = MEAN_WEIGHT.mul_add(fraction - self.0, self.0);
    }

    /// Current average; 0 before the first answer, 1 when answers begin exactly on time.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}
