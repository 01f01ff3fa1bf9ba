//! Speed at which a service's engines write, by the events of all its streams.
//!
//! Load pattern: engines whose batches are full, or that read long prompts between the
//! tokens, write several times slower than a moment before. Complete answers tell that too
//! late.

use std::time::Duration;

use crate::units;

/// Time of writing, over all streams, in which the moving average follows a change. A gap
/// weighs by its length, so that each stream counts alike and not each event: the mean over
/// events would be that of the fast streams.
const GAP_MEMORY: Duration = Duration::from_secs(10);
/// Weight of a complete answer in the average length.
const LENGTH_WEIGHT: f64 = 0.05;

/// Writing speed of a service, and how many events its answers have.
#[derive(Clone, Copy, Debug, Default)]
pub struct WritingSpeed {
    /// Mean time between two events; `None` before the first.
    gap: Option<EventGap>,
    /// Mean number of events and of expected tokens of an answer; `None` before the first.
    lengths: Option<(f64, f64)>,
}

impl WritingSpeed {
    /// Records the time between two events, at an engine of usual speed.
    pub fn record_gap(&mut self, gap: Duration) {
        EventGap::record(&mut self.gap, gap, GAP_MEMORY);
    }

    /// Returns the mean time between two events at an engine of usual speed; `None` before the
    /// first.
    #[must_use]
    pub fn gap(&self) -> Option<Duration> {
        self.gap.map(EventGap::get)
    }

    /// Records the number of events of a complete answer of which `expected` tokens were
    /// expected.
    pub fn record_length(&mut self, expected: units::Tokens, events: u32) {
        #[allow(clippy::cast_precision_loss)]
        let sample = (f64::from(events), expected.0 as f64);
        let known = self.lengths.unwrap_or(sample);
        let mean = |known: f64, sample: f64| LENGTH_WEIGHT.mul_add(sample - known, known);
        self.lengths = Some((mean(known.0, sample.0), mean(known.1, sample.1)));
    }

    /// Returns the expected number of events of an answer; `None` before the first complete
    /// one.
    #[must_use]
    pub fn events(&self, expected: units::Tokens) -> Option<f64> {
        let (events, tokens) = self.lengths?;
        #[allow(clippy::cast_precision_loss)]
        let expected = expected.0 as f64;
        Some(expected * events / tokens.max(1.0))
    }

    /// Returns the time in which an engine of usual speed writes this many events after the
    /// first; `None` before the first gap.
    #[must_use]
    pub fn time(&self, events: f64) -> Option<Duration> {
        let seconds = self.gap()?.as_secs_f64() * (events - 1.0).max(0.0);
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Moving average of the time between two events of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EventGap {
    seconds: f64,
}

impl EventGap {
    /// Adds a gap to a mean that follows a change within `memory` of writing.
    pub fn record(mean: &mut Option<Self>, gap: Duration, memory: Duration) {
        let sample = gap.as_secs_f64();
        let known = mean.map_or(sample, |mean| mean.seconds);
        let weight = 1.0 - (-sample / memory.as_secs_f64()).exp();
        let seconds = weight.mul_add(sample - known, known);
        *mean = Some(Self { seconds });
    }

    /// Returns the mean.
    #[must_use]
    pub fn get(self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}
