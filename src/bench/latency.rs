//! Records latencies in a histogram.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Upper bound of the histogram; longer latencies count as this one.
const MAX_LATENCY: Duration = Duration::from_mins(10);
/// Significant decimal digits that the histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of latencies in nanoseconds.
#[derive(Clone, Debug)]
pub struct Latency(Histogram<u64>);

/// Summary of a histogram, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Quantiles {
    /// Number of recorded latencies.
    pub count: u64,
    /// Mean latency in microseconds.
    pub mean_us: f64,
    /// Median latency in microseconds.
    pub p50_us: f64,
    /// 95th percentile in microseconds.
    pub p95_us: f64,
    /// 99th percentile in microseconds.
    pub p99_us: f64,
}

impl Latency {
    /// Creates an empty histogram.
    pub fn new() -> Result<Self, hdrhistogram::CreationError> {
        Histogram::new_with_bounds(1, nanos(MAX_LATENCY), SIGNIFICANT_DIGITS).map(Self)
    }

    /// Records a latency; one above the upper bound counts as the bound.
    pub fn record(&mut self, latency: Duration) {
        self.0.saturating_record(nanos(latency).max(1));
    }

    /// Returns the mean and the quantiles of all recorded latencies.
    #[must_use]
    pub fn quantiles(&self) -> Quantiles {
        let at = |quantile| micros(Duration::from_nanos(self.0.value_at_quantile(quantile)));
        Quantiles {
            count: self.0.len(),
            mean_us: self.0.mean() / 1_000.0,
            p50_us: at(0.5),
            p95_us: at(0.95),
            p99_us: at(0.99),
        }
    }
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
