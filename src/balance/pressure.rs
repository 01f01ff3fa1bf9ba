//! Load of a service, measured by how late its answers begin.
//!
//! Load pattern: an overload that has ended. An entry of many gets few answers a second, so
//! that an average over answers alone would tell of it for many seconds more.

use std::time::Duration;

use crate::runtime;

/// Least weight of a new answer in the moving average.
const MEAN_WEIGHT: f64 = 0.05;
/// Time constant with which earlier answers lose their weight.
const MEMORY: Duration = Duration::from_secs(1);

/// Moving average of the time to first event, as a fraction of the latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    mean: f64,
    /// Time of the last answer; `None` before the first.
    at: Option<runtime::Moment>,
}

impl Pressure {
    /// Adds an answer that began at `now`, `first` after its request was sent; an objective
    /// below 1 ms counts as 1 ms.
    pub fn add(&mut self, first: Duration, objective: Duration, now: runtime::Moment) {
        let fraction = first.as_secs_f64() / objective.as_secs_f64().max(0.001);
        let age = self.at.map(|at| now.saturating_since(at));
        let age = age.unwrap_or_default().as_secs_f64();
        let weight = MEAN_WEIGHT.max(1.0 - (-age / MEMORY.as_secs_f64()).exp());
        self.mean = weight.mul_add(fraction - self.mean, self.mean);
        self.at = Some(now);
    }

    /// Current average; 0 before the first answer, 1 when answers begin exactly on time.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.mean
    }
}
