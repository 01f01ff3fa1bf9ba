//! Comparison of a new version with the others by what its answers show.

use std::time::Duration;

/// Failures of a new version before which it is not judged bad by its
/// failures: two may be chance.
const MIN_FAILURES: u32 = 3;
/// Part of a new version's runs that must fail before it is bad.
const BAD_FAILURE_SHARE: f64 = 0.12;
/// How much more often than the others a bad version fails.
const BAD_FAILURE_FACTOR: f64 = 3.0;
/// Runs of each side before a version is judged by its speed.
const MIN_TIMED: u32 = 6;
/// How much slower than the others a bad version is, by the geometric mean of
/// its first bytes. A version that has just started is up to twice as slow.
const BAD_SLOWNESS: f64 = 3.0;
/// First bytes under this are not compared: the difference harms nobody.
const NEGLIGIBLE: Duration = Duration::from_millis(40);

/// Counts of the runs of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    runs: u32,
    failures: u32,
    timed: u32,
    /// Sum of the natural logarithms of the times in milliseconds.
    log_first: f64,
}

impl Tally {
    /// Counts a run.
    pub fn add(&mut self, answered: bool, first: Option<Duration>) {
        self.runs += 1;
        if !answered {
            self.failures += 1;
        }
        if let Some(first) = first {
            self.timed += 1;
            self.log_first += (first.as_secs_f64() * 1_000.0).max(1.0).ln();
        }
    }

    /// Adds the runs of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.runs += other.runs;
        self.failures += other.failures;
        self.timed += other.timed;
        self.log_first += other.log_first;
    }

    fn failure_share(&self) -> f64 {
        f64::from(self.failures) / f64::from(self.runs.max(1))
    }

    /// Geometric mean of the times to the first byte, in milliseconds.
    fn typical_first(&self) -> f64 {
        (self.log_first / f64::from(self.timed.max(1))).exp()
    }

    fn fails_more_than(&self, others: &Self) -> bool {
        self.failures >= MIN_FAILURES
            && self.failure_share() > BAD_FAILURE_SHARE
            && self.failure_share() > BAD_FAILURE_FACTOR * others.failure_share()
    }

    fn is_slower_than(&self, others: &Self) -> bool {
        self.timed >= MIN_TIMED
            && others.timed >= MIN_TIMED
            && self.typical_first() > NEGLIGIBLE.as_secs_f64() * 1_000.0
            && self.typical_first() > BAD_SLOWNESS * others.typical_first()
    }
}

/// What is known of a new version over all routes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Comparison {
    /// Runs of the new version.
    pub runs: u32,
    /// Of these, failed ones.
    pub failures: u32,
    /// Whether it is worse than the others on some route.
    pub bad: bool,
}

impl Comparison {
    /// Includes one route.
    pub fn include(&mut self, target: &Tally, others: &Tally) {
        self.runs += target.runs;
        self.failures += target.failures;
        self.bad |= target.fails_more_than(others) || target.is_slower_than(others);
    }
}
