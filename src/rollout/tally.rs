//! Comparison of a new version with the others by what its answers show.

use std::time::Duration;

/// Failures of a new version before which it is not judged bad by its
/// failures: two may be chance.
const MIN_FAILURES: u32 = 3;
/// Part of a new version's runs that must fail before it is bad.
const BAD_FAILURE_SHARE: f64 = 0.12;
/// Failures of the others that are assumed to be possible in a hundred runs,
/// however few they have shown.
const LEAST_FAILURE_SHARE: f64 = 0.03;
/// Negative natural logarithm of the chance at which so many failures are no
/// longer taken for chance. All entries look at several routes and models again
/// and again, so it must be small: about one in five thousand.
const SURPRISE: f64 = 8.5;
/// Timed runs before a version is judged by its speed, and of the others before
/// they are compared with.
const MIN_TIMED: u32 = 6;
/// How much slower than the others a bad version is, by the geometric mean of
/// its first bytes. A version that has just started is up to twice as slow.
const BAD_SLOWNESS: f64 = 3.0;
/// Standard errors by which the means must differ, for the same reason.
const SLOWNESS_ERRORS: f64 = 4.0;
/// Least spread that is assumed of the logarithm of a time: a few runs may
/// happen to be alike.
const LEAST_SPREAD: f64 = 0.5;
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
    /// Sum of their squares.
    log_first_squares: f64,
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
            let log = (first.as_secs_f64() * 1_000.0).max(1.0).ln();
            self.log_first += log;
            self.log_first_squares += log * log;
        }
    }

    /// Adds the runs of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.runs += other.runs;
        self.failures += other.failures;
        self.timed += other.timed;
        self.log_first += other.log_first;
        self.log_first_squares += other.log_first_squares;
    }

    fn failure_share(&self) -> f64 {
        f64::from(self.failures) / f64::from(self.runs.max(1))
    }

    /// Mean of the logarithms of the times to the first byte.
    fn mean_log(&self) -> f64 {
        self.log_first / f64::from(self.timed.max(1))
    }

    /// Variance of the logarithms.
    fn variance(&self) -> f64 {
        let mean = self.mean_log();
        let squares = self.log_first_squares / f64::from(self.timed.max(1));
        mean.mul_add(-mean, squares)
            .max(LEAST_SPREAD * LEAST_SPREAD)
    }

    fn fails_more_than(&self, others: &Self) -> bool {
        let share = self.failure_share();
        let usual = others.failure_share().max(LEAST_FAILURE_SHARE);
        self.failures >= MIN_FAILURES
            && share > BAD_FAILURE_SHARE
            && share > usual
            && f64::from(self.runs) * divergence(share, usual) > SURPRISE
    }
}

/// How much slower a version is, over one route and model or several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Slowness {
    timed: u32,
    /// Sum of the inverse variances of the differences.
    weight: f64,
    /// Sum of the differences of the mean logarithms, each times its inverse variance.
    weighted: f64,
}

impl Slowness {
    /// Includes one route and model. The spread of the others, of which there
    /// are more runs, is taken for both.
    fn include(&mut self, target: &Tally, others: &Tally) {
        let negligible = (NEGLIGIBLE.as_secs_f64() * 1_000.0).ln();
        if target.timed == 0 || others.timed < MIN_TIMED || target.mean_log() <= negligible {
            return;
        }
        let runs = f64::from(target.timed).recip() + f64::from(others.timed).recip();
        let weight = (others.variance() * runs).recip();
        self.timed += target.timed;
        self.weight += weight;
        self.weighted = weight.mul_add(target.mean_log() - others.mean_log(), self.weighted);
    }

    fn is_bad(&self) -> bool {
        if self.timed < MIN_TIMED {
            return false;
        }
        let difference = self.weighted / self.weight;
        let error = self.weight.sqrt().recip();
        difference > BAD_SLOWNESS.ln() && difference > SLOWNESS_ERRORS * error
    }
}

/// How unlikely a share is where another one is usual: times the number of
/// runs, the negative logarithm of the chance (Chernoff's bound).
fn divergence(share: f64, usual: f64) -> f64 {
    let part = |p: f64, q: f64| if p > 0.0 { p * (p / q).ln() } else { 0.0 };
    part(share, usual) + part(1.0 - share, 1.0 - usual)
}

/// What is known of a new version over all routes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Comparison {
    target: Tally,
    others: Tally,
    slowness: Slowness,
    is_worse_somewhere: bool,
}

impl Comparison {
    /// Includes one route and model.
    pub fn include(&mut self, target: &Tally, others: &Tally) {
        self.target.merge(target);
        self.others.merge(others);
        self.slowness.include(target, others);
        let mut slowness = Slowness::default();
        slowness.include(target, others);
        self.is_worse_somewhere |= target.fails_more_than(others) || slowness.is_bad();
    }

    /// Runs of the new version.
    #[must_use]
    pub const fn runs(&self) -> u32 {
        self.target.runs
    }

    /// Of these, failed ones.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.target.failures
    }

    /// Whether it is worse than the others on some route or on all together.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.is_worse_somewhere
            || self.slowness.is_bad()
            || self.target.fails_more_than(&self.others)
    }
}
