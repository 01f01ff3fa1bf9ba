//! When refused callers return.
//!
//! Load pattern: the store comes back, or endpoints do, after all callers were refused.
//! With one common delay they would return in the same moment and be late together.

use std::time::Duration;

use crate::runtime;

/// Weight of a new gap between two requests in the moving average.
const GAP_WEIGHT: f64 = 0.05;
/// Gap that is assumed before two requests have arrived.
const DEFAULT_GAP: Duration = Duration::from_millis(20);
/// Longest gap that is counted: after a quiet time, callers need not be spread as widely.
const MAX_GAP: Duration = Duration::from_millis(200);
/// Maximum delay, as a fraction of the time that the caller has left. Callers that are
/// told to wait longer have no time for the answer.
const MAX_DELAY_FRACTION: f64 = 0.3;

/// Books a time to return for each refused caller, one after the other at the rate at
/// which requests usually arrive.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnTimes {
    last_arrival: Option<runtime::Moment>,
    mean_gap_s: Option<f64>,
    /// Time booked for the caller that was refused last.
    booked: runtime::Moment,
}

impl ReturnTimes {
    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, now: runtime::Moment) {
        if let Some(last) = self.last_arrival.replace(now) {
            let gap = now.saturating_since(last).min(MAX_GAP).as_secs_f64();
            self.mean_gap_s = Some(match self.mean_gap_s {
                None => gap,
                Some(mean) => GAP_WEIGHT.mul_add(gap - mean, mean),
            });
        }
    }

    /// Returns the delay after which a refused caller should return: `earliest` at least,
    /// and after those who were refused before it. `time_left` is until its deadline.
    pub fn book(
        &mut self,
        earliest: Duration,
        time_left: Duration,
        now: runtime::Moment,
    ) -> Duration {
        let gap = self.mean_gap_s.map_or(DEFAULT_GAP, Duration::from_secs_f64);
        let latest = time_left.mul_f64(MAX_DELAY_FRACTION).max(earliest);
        let at = now
            .saturating_add(earliest)
            .max(self.booked.saturating_add(gap));
        let delay = at.saturating_since(now);
        if delay > latest {
            // Starts again at the front: the later places would be of no use to a caller.
            self.booked = now.saturating_add(earliest);
            return earliest;
        }
        self.booked = at;
        delay
    }
}
