//! Times to the first token, by which a cold endpoint is recognised.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of latest samples from which the median is taken.
const SAMPLE_WINDOW: usize = 64;
/// Minimum samples for a median; fewer are no evidence.
const MIN_SAMPLES: usize = 16;
/// Multiple of the median that a cold endpoint exceeds.
const COLD_FACTOR: u32 = 4;
/// Minimum excess of a cold endpoint over the median; less is scheduling noise where the
/// median is short.
const MIN_EXCESS: Duration = Duration::from_millis(50);

/// Latest times to the first token. All samples are recorded, so an endpoint that has
/// become slower for good is not treated as cold for longer than half a window.
#[derive(Clone, Debug, Default)]
pub struct FirstTokenTimes {
    samples: VecDeque<Duration>,
}

impl FirstTokenTimes {
    /// Returns the median time; `None` if there are too few samples.
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        let middle = sorted.len() / 2;
        Some(*sorted.select_nth_unstable(middle).1)
    }

    /// Returns whether a time is that of a cold endpoint; `false` as long as there is no
    /// median.
    #[must_use]
    pub fn is_cold(&self, elapsed: Duration) -> bool {
        self.median()
            .is_some_and(|median| elapsed > median * COLD_FACTOR && elapsed > median + MIN_EXCESS)
    }

    /// Records a time; returns whether it is that of a cold endpoint.
    pub fn record(&mut self, elapsed: Duration) -> bool {
        let is_cold = self.is_cold(elapsed);
        if self.samples.len() == SAMPLE_WINDOW {
            self.samples.pop_front();
        }
        self.samples.push_back(elapsed);
        is_cold
    }
}
