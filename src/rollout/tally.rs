//! Counts of the attempts on one version.

use std::time::Duration;

use crate::rollout;

/// Minimum standard deviation that is assumed of the logarithm of a time: a few attempts
/// may happen to be alike.
const MIN_LOG_STD_DEV: f64 = 0.5;

/// How an attempt ended, as evidence about the version that was tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered; `None` if the time to the first byte was not measured.
    Answered(Option<Duration>),
    /// The endpoint failed.
    Failed,
    /// The caller left, or another answer was taken, after waiting for so long.
    Abandoned(Duration),
}

/// Counts of the attempts on one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Tally {
    /// Attempts that were answered or failed, and the failures among them.
    counts: rollout::Counts,
    first_bytes: rollout::TimeHistogram,
    /// Waits of attempts that were abandoned without a first byte, which took longer.
    abandoned: rollout::TimeHistogram,
    /// Sum of the natural logarithms of the first-byte times in milliseconds.
    log_sum: f64,
    /// Sum of the squares of these logarithms.
    log_square_sum: f64,
}

impl Tally {
    /// Counts an attempt.
    pub fn add(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Abandoned(waited) => {
                self.abandoned.add(waited);
                return;
            }
            AttemptOutcome::Failed => self.counts.hits += 1,
            AttemptOutcome::Answered(None) => {}
            AttemptOutcome::Answered(Some(first)) => {
                self.first_bytes.add(first);
                let log_ms = (first.as_secs_f64() * 1_000.0).max(1.0).ln();
                self.log_sum += log_ms;
                self.log_square_sum += log_ms * log_ms;
            }
        }
        self.counts.attempts += 1;
    }

    /// Adds the attempts of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.counts = self.counts.plus(other.counts);
        self.first_bytes.merge(&other.first_bytes);
        self.abandoned.merge(&other.abandoned);
        self.log_sum += other.log_sum;
        self.log_square_sum += other.log_square_sum;
    }

    /// Attempts that were answered or failed, with the failures as hits.
    #[must_use]
    pub const fn failures(&self) -> rollout::Counts {
        self.counts
    }

    /// Number of attempts with a measured first byte.
    #[must_use]
    pub fn timed(&self) -> u32 {
        self.first_bytes.total()
    }

    /// Bucket of the median first-byte time; `None` without one.
    #[must_use]
    pub fn median_bucket(&self) -> Option<usize> {
        self.first_bytes.median_bucket()
    }

    /// Attempts of which it is known whether the first byte came before this bucket, with
    /// the later ones as hits. An abandoned attempt tells only if it had waited for so long.
    #[must_use]
    pub fn slower_than(&self, bucket: usize) -> rollout::Counts {
        let abandoned = self.abandoned.count_from(bucket);
        rollout::Counts {
            attempts: self.timed().saturating_add(abandoned),
            hits: self
                .first_bytes
                .count_from(bucket)
                .saturating_add(abandoned),
        }
    }

    /// Returns the mean logarithm of the first-byte times in milliseconds.
    #[must_use]
    pub fn mean_log(&self) -> f64 {
        self.log_sum / f64::from(self.timed().max(1))
    }

    /// Returns the variance of the logarithms, at least that of `MIN_LOG_STD_DEV`.
    #[must_use]
    pub fn variance(&self) -> f64 {
        let mean = self.mean_log();
        let squares = self.log_square_sum / f64::from(self.timed().max(1));
        mean.mul_add(-mean, squares)
            .max(MIN_LOG_STD_DEV * MIN_LOG_STD_DEV)
    }
}
