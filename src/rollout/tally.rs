//! Comparison of a new version with the others by the failures and first-byte times of its
//! attempts.

use std::time::Duration;

/// Minimum failures of a new version before it is found bad by them: two may be chance.
const MIN_FAILURES: u32 = 3;
/// Failure fraction above which a new version may be found bad.
const BAD_FAILURE_FRACTION: f64 = 0.12;
/// Minimum failure fraction that is assumed of the other versions, however few failures
/// they have shown.
const MIN_BASELINE_FAILURE_FRACTION: f64 = 0.03;
/// Negative natural logarithm of the probability at which a number of failures is no longer
/// attributed to chance: about 1 in 5,000. It is so small because all entries repeat the
/// test over several routes and models.
const MIN_FAILURE_DIVERGENCE_NATS: f64 = 8.5;
/// Minimum timed attempts of a new version before its speed is evaluated, and of the others
/// before they are compared with.
const MIN_TIMED_ATTEMPTS: u32 = 6;
/// Ratio of the geometric means of the first-byte times above which a new version is bad. A
/// version that has just started is up to 2 times as slow as the others.
const BAD_SLOWDOWN_RATIO: f64 = 3.0;
/// Standard errors by which the mean logarithms must differ before a slowdown is not
/// attributed to chance.
const MIN_SLOWDOWN_STANDARD_ERRORS: f64 = 4.0;
/// Minimum standard deviation that is assumed of the logarithm of a time: a few attempts
/// may happen to be alike.
const MIN_LOG_STD_DEV: f64 = 0.5;
/// Geometric mean of the first-byte times up to which versions are not compared: the
/// difference harms nobody.
const NEGLIGIBLE_FIRST_BYTE: Duration = Duration::from_millis(40);

/// Counts of the attempts on one version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    attempts: u32,
    failures: u32,
    timed: u32,
    /// Sum of the natural logarithms of the first-byte times in milliseconds.
    log_sum: f64,
    /// Sum of the squares of these logarithms.
    log_square_sum: f64,
}

impl Tally {
    /// Counts an attempt. `first` is the time to its first byte; `None` if there was none.
    pub fn add(&mut self, answered: bool, first: Option<Duration>) {
        self.attempts += 1;
        if !answered {
            self.failures += 1;
        }
        if let Some(first) = first {
            self.timed += 1;
            let log_ms = (first.as_secs_f64() * 1_000.0).max(1.0).ln();
            self.log_sum += log_ms;
            self.log_square_sum += log_ms * log_ms;
        }
    }

    /// Adds the attempts of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.attempts += other.attempts;
        self.failures += other.failures;
        self.timed += other.timed;
        self.log_sum += other.log_sum;
        self.log_square_sum += other.log_square_sum;
    }

    fn failure_fraction(&self) -> f64 {
        f64::from(self.failures) / f64::from(self.attempts.max(1))
    }

    /// Returns the mean logarithm of the first-byte times in milliseconds.
    fn mean_log(&self) -> f64 {
        self.log_sum / f64::from(self.timed.max(1))
    }

    /// Returns the variance of the logarithms, at least that of `MIN_LOG_STD_DEV`.
    fn variance(&self) -> f64 {
        let mean = self.mean_log();
        let squares = self.log_square_sum / f64::from(self.timed.max(1));
        mean.mul_add(-mean, squares)
            .max(MIN_LOG_STD_DEV * MIN_LOG_STD_DEV)
    }

    fn fails_more_than(&self, others: &Self) -> bool {
        let fraction = self.failure_fraction();
        let baseline = others.failure_fraction().max(MIN_BASELINE_FAILURE_FRACTION);
        self.failures >= MIN_FAILURES
            && fraction > BAD_FAILURE_FRACTION
            && fraction > baseline
            && f64::from(self.attempts) * kl_divergence(fraction, baseline)
                > MIN_FAILURE_DIVERGENCE_NATS
    }
}

/// Slowdown of a version against the others, over one or several routes and models.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Slowdown {
    timed: u32,
    /// Sum of the inverse variances of the differences.
    weight: f64,
    /// Sum of the differences of the mean logarithms, each weighted by its inverse
    /// variance.
    weighted_difference: f64,
}

impl Slowdown {
    /// Includes one route and model. The variance of the others, which have more attempts,
    /// is used for both.
    fn include(&mut self, target: &Tally, others: &Tally) {
        let negligible_log = (NEGLIGIBLE_FIRST_BYTE.as_secs_f64() * 1_000.0).ln();
        if target.timed == 0
            || others.timed < MIN_TIMED_ATTEMPTS
            || target.mean_log() <= negligible_log
        {
            return;
        }
        let inverse_attempts = f64::from(target.timed).recip() + f64::from(others.timed).recip();
        let weight = (others.variance() * inverse_attempts).recip();
        self.timed += target.timed;
        self.weight += weight;
        self.weighted_difference = weight.mul_add(
            target.mean_log() - others.mean_log(),
            self.weighted_difference,
        );
    }

    fn is_bad(&self) -> bool {
        if self.timed < MIN_TIMED_ATTEMPTS {
            return false;
        }
        let mean_difference = self.weighted_difference / self.weight;
        let standard_error = self.weight.sqrt().recip();
        mean_difference > BAD_SLOWDOWN_RATIO.ln()
            && mean_difference > MIN_SLOWDOWN_STANDARD_ERRORS * standard_error
    }
}

/// Returns the Kullback-Leibler divergence of an observed failure fraction from a baseline.
/// Multiplied by the number of attempts, it is a lower bound of the negative logarithm of
/// the probability of such a result (Chernoff bound).
fn kl_divergence(fraction: f64, baseline: f64) -> f64 {
    let term = |p: f64, q: f64| if p > 0.0 { p * (p / q).ln() } else { 0.0 };
    term(fraction, baseline) + term(1.0 - fraction, 1.0 - baseline)
}

/// Comparison of a new version with the others over all routes and models.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Comparison {
    target: Tally,
    others: Tally,
    slowdown: Slowdown,
    is_worse_on_a_route: bool,
}

impl Comparison {
    /// Includes the tallies of one route and model.
    pub fn include(&mut self, target: &Tally, others: &Tally) {
        self.target.merge(target);
        self.others.merge(others);
        self.slowdown.include(target, others);
        let mut slowdown = Slowdown::default();
        slowdown.include(target, others);
        self.is_worse_on_a_route |= target.fails_more_than(others) || slowdown.is_bad();
    }

    /// Returns the number of attempts on the new version.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.target.attempts
    }

    /// Returns how many of these attempts failed.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.target.failures
    }

    /// Returns whether the new version is worse than the others on some route and model, or
    /// on all together.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.is_worse_on_a_route
            || self.slowdown.is_bad()
            || self.target.fails_more_than(&self.others)
    }
}
