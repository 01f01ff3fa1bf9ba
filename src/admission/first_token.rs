//! Times to the first token, for the recognition of a cold endpoint.

use std::collections::VecDeque;
use std::time::Duration;

/// Samples of which the median is taken.
const WINDOW: usize = 64;
/// Samples without which there is no median: a few are no evidence.
const MIN_SAMPLES: usize = 16;
/// Multiple of the median that a cold endpoint exceeds.
const COLD_FACTOR: u32 = 4;
/// Excess that a cold endpoint reaches; less is scheduling noise where the median is short.
const MIN_EXCESS: Duration = Duration::from_millis(50);

/// The times of late. All samples are learned, so an endpoint that has become
/// slower for good is not held cold for longer than half a window.
#[derive(Clone, Debug, Default)]
pub struct FirstTokens {
    samples: VecDeque<Duration>,
}

impl FirstTokens {
    /// The median, where there are enough samples.
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        let middle = sorted.len() / 2;
        Some(*sorted.select_nth_unstable(middle).1)
    }

    /// Whether a time is that of a cold endpoint.
    #[must_use]
    pub fn is_cold(&self, took: Duration) -> bool {
        self.median()
            .is_some_and(|median| took > median * COLD_FACTOR && took > median + MIN_EXCESS)
    }

    /// Learns a time; true where it is that of a cold endpoint.
    pub fn learn(&mut self, took: Duration) -> bool {
        let is_cold = self.is_cold(took);
        if self.samples.len() == WINDOW {
            self.samples.pop_front();
        }
        self.samples.push_back(took);
        is_cold
    }
}
