//! Comparison of a new version with the others by the failures and first-byte times of its
//! attempts.
//!
//! Load pattern: a rollout whose version fails or delays a small share of its requests,
//! seen by many entries of which each has few of them, while requests of some routes fail
//! on every version and single endpoints fail for reasons of their own.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::ids;
use crate::rollout;
use crate::rollout::{excess, time_histogram};

/// Minimum failures of a new version before it is found bad by them: two may be chance.
const MIN_FAILURES: u32 = 3;
/// Minimum failures before a new version is doubtful.
const MIN_DOUBTFUL_FAILURES: u32 = 2;
/// Evidence from which a version is bad, about 1 in 5,000 by chance. It is so high because
/// the test is repeated with each attempt, over several routes and models.
const BAD_EVIDENCE: rollout::Nats = rollout::Nats(8.5);
/// Evidence of failures from which a version is doubtful, about 1 in 30 by chance: at the
/// end of a rollout the test is made once.
const DOUBTFUL_FAILURE_EVIDENCE: rollout::Nats = rollout::Nats(1.8);
/// Evidence of slow attempts from which a version is doubtful. It is higher than that of
/// failures, as slow attempts come together.
const DOUBTFUL_SLOWNESS_EVIDENCE: rollout::Nats = rollout::Nats(5.0);
/// Evidence from which the failures of one endpoint are its own, not those of its version.
const ENDPOINT_EVIDENCE: rollout::Nats = rollout::Nats(6.0);
/// Evidence from which failures are more frequent at one endpoint; then the others must
/// fail too before the version is bad.
const CONCENTRATION_EVIDENCE: rollout::Nats = rollout::Nats(2.0);
/// Fraction of the endpoints of a version whose failures may be their own.
const MAX_FAULTY_ENDPOINTS: f64 = 0.34;
/// Minimum timed attempts of a new version before its speed is evaluated, and of the others
/// before they are compared with.
const MIN_TIMED_ATTEMPTS: u32 = 6;
/// Ratio of the geometric means of the first-byte times above which a new version is bad. A
/// version that has just started is up to 2 times as slow as the others.
const BAD_SLOWDOWN_RATIO: f64 = 3.0;
/// Doublings of the median first byte of the others from which an attempt is slow.
const SLOW_DOUBLINGS: usize = 2;
/// Standard errors by which the mean logarithms must differ before a slowdown is not
/// attributed to chance.
const MIN_SLOWDOWN_STANDARD_ERRORS: f64 = 4.0;
/// Geometric mean of the first-byte times up to which versions are not compared: the
/// difference harms nobody.
const NEGLIGIBLE_FIRST_BYTE: Duration = Duration::from_millis(40);

/// Judgement of a new version by its attempts so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// Nothing speaks against the version.
    #[default]
    Sound,
    /// More attempts are needed before the version may get more traffic.
    Doubtful,
    /// The version is worse than the others.
    Bad,
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
    fn include(&mut self, target: &rollout::Tally, others: &rollout::Tally) {
        let negligible_log = (NEGLIGIBLE_FIRST_BYTE.as_secs_f64() * 1_000.0).ln();
        if target.timed() == 0
            || others.timed() < MIN_TIMED_ATTEMPTS
            || target.mean_log() <= negligible_log
        {
            return;
        }
        let inverse_attempts =
            f64::from(target.timed()).recip() + f64::from(others.timed()).recip();
        let weight = (others.variance() * inverse_attempts).recip();
        self.timed += target.timed();
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

/// Failures on one route and model.
#[derive(Clone, Debug, Default, PartialEq)]
struct Cell {
    failures: rollout::Stratum,
    /// Part of the attempts on the new version that each of its endpoints had.
    endpoints: HashMap<ids::EndpointId, rollout::Counts>,
}

impl Cell {
    fn of_endpoint(&self, endpoint: &ids::EndpointId) -> rollout::Counts {
        self.endpoints.get(endpoint).copied().unwrap_or_default()
    }

    /// Counts of the new version without these endpoints.
    fn target_without(&self, endpoints: &[&ids::EndpointId]) -> rollout::Counts {
        let parts = endpoints.iter().map(|endpoint| self.of_endpoint(endpoint));
        parts.fold(self.failures.target, rollout::Counts::minus)
    }
}

/// Comparison of a new version with the others over all routes and models.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Comparison {
    cells: Vec<Cell>,
    slow: Vec<rollout::Stratum>,
    slowdown: Slowdown,
    is_slower_on_a_route: bool,
}

impl Comparison {
    /// Includes the tallies of one route and model. `endpoints` are the parts of `target`
    /// by endpoint; those without failures may be left out.
    pub fn include(
        &mut self,
        target: &rollout::Tally,
        others: &rollout::Tally,
        endpoints: HashMap<ids::EndpointId, rollout::Counts>,
    ) {
        self.cells.push(Cell {
            failures: rollout::Stratum {
                target: target.failures(),
                others: others.failures(),
            },
            endpoints,
        });
        self.slowdown.include(target, others);
        let mut slowdown = Slowdown::default();
        slowdown.include(target, others);
        self.is_slower_on_a_route |= slowdown.is_bad();
        if others.timed() < MIN_TIMED_ATTEMPTS {
            return;
        }
        if let Some(median) = others.median_bucket() {
            let doubling = time_histogram::BUCKETS_PER_DOUBLING;
            let negligible = time_histogram::bucket(NEGLIGIBLE_FIRST_BYTE);
            let slow = (median + SLOW_DOUBLINGS * doubling).max(negligible + 1);
            self.slow.push(rollout::Stratum {
                target: target.slower_than(slow),
                others: others.slower_than(slow),
            });
        }
    }

    fn total(&self) -> rollout::Stratum {
        let strata = self.cells.iter().map(|cell| cell.failures);
        strata.fold(rollout::Stratum::default(), |sum, each| rollout::Stratum {
            target: sum.target.plus(each.target),
            others: sum.others.plus(each.others),
        })
    }

    /// Number of attempts on the new version that were answered or failed.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.total().target.attempts
    }

    /// Number of these attempts that failed.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.total().target.hits
    }

    /// Fraction of the attempts on the other versions that failed.
    #[must_use]
    pub fn usual_failure_fraction(&self) -> f64 {
        self.total().others.fraction()
    }

    /// Number of attempts on the new version that were slow.
    #[must_use]
    pub fn slow(&self) -> u32 {
        self.slow.iter().map(|each| each.target.hits).sum()
    }

    /// Failures of the new version without these endpoints, by route and model.
    fn strata_without(&self, endpoints: &[&ids::EndpointId]) -> Vec<rollout::Stratum> {
        let strata = self.cells.iter().map(|cell| rollout::Stratum {
            target: cell.target_without(endpoints),
            ..cell.failures
        });
        strata.collect()
    }

    /// The endpoint of the new version, beside the excluded ones, that fails most compared
    /// with the rest of them, with the evidence for it.
    fn worst_endpoint<'a>(
        &'a self,
        excluded: &[&'a ids::EndpointId],
    ) -> Option<(&'a ids::EndpointId, rollout::Nats)> {
        let endpoints = self.cells.iter().flat_map(|cell| cell.endpoints.keys());
        let candidates: BTreeSet<_> = endpoints.filter(|id| !excluded.contains(id)).collect();
        let rated = candidates.into_iter().filter_map(|id| {
            let without: Vec<_> = excluded.iter().copied().chain([id]).collect();
            let cells = self.cells.iter();
            let strata: Vec<_> = cells
                .map(|cell| rollout::Stratum {
                    target: cell.of_endpoint(id),
                    others: cell.target_without(&without),
                })
                .collect();
            let hits: u32 = strata.iter().map(|each| each.target.hits).sum();
            (hits >= MIN_DOUBTFUL_FAILURES).then(|| (id, excess::evidence(&strata)))
        });
        rated.max_by(|a, b| a.1.0.total_cmp(&b.1.0))
    }

    /// Endpoints of the new version that fail far more than the rest of them.
    fn faulty_endpoints(&self) -> Vec<&ids::EndpointId> {
        let endpoints = self.cells.iter().flat_map(|cell| cell.endpoints.keys());
        let count = endpoints.collect::<BTreeSet<_>>().len();
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let limit = (count as f64 * MAX_FAULTY_ENDPOINTS) as usize;
        let mut faulty = Vec::new();
        while faulty.len() < limit
            && let Some((endpoint, evidence)) = self.worst_endpoint(&faulty)
            && evidence > ENDPOINT_EVIDENCE
        {
            faulty.push(endpoint);
        }
        faulty
    }

    /// Evidence that the new version fails more than the others.
    #[must_use]
    pub fn failing(&self) -> rollout::Nats {
        excess::evidence(&self.strata_without(&self.faulty_endpoints()))
    }

    /// Evidence that the new version has more slow attempts than the others.
    #[must_use]
    pub fn slowness(&self) -> rollout::Nats {
        excess::evidence(&self.slow)
    }

    /// Whether the version fails too often, over all routes or on one of them, and not only
    /// at one endpoint.
    fn fails_too_often(&self) -> bool {
        let mut excluded = self.faulty_endpoints();
        let strata = self.strata_without(&excluded);
        let is_bad = |strata: &[rollout::Stratum]| {
            let failures: u32 = strata.iter().map(|each| each.target.hits).sum();
            failures >= MIN_FAILURES && excess::evidence(strata) > BAD_EVIDENCE
        };
        if !is_bad(&strata) && !strata.iter().any(|each| is_bad(std::slice::from_ref(each))) {
            return false;
        }
        match self.worst_endpoint(&excluded) {
            Some((worst, evidence)) if evidence > CONCENTRATION_EVIDENCE => {
                excluded.push(worst);
                let rest = self.strata_without(&excluded);
                excess::evidence(&rest) > DOUBTFUL_FAILURE_EVIDENCE
            }
            _ => true,
        }
    }

    /// Judges the new version.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let slowness = self.slowness();
        let is_bad = self.fails_too_often()
            || (self.slow() >= MIN_TIMED_ATTEMPTS && slowness > BAD_EVIDENCE)
            || self.is_slower_on_a_route
            || self.slowdown.is_bad();
        let is_doubtful = (self.failures() >= MIN_DOUBTFUL_FAILURES
            && self.failing() > DOUBTFUL_FAILURE_EVIDENCE)
            || slowness > DOUBTFUL_SLOWNESS_EVIDENCE;
        if is_bad {
            Verdict::Bad
        } else if is_doubtful {
            Verdict::Doubtful
        } else {
            Verdict::Sound
        }
    }

    /// Returns whether the new version is worse than the others on some route and model, or
    /// on all together.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.verdict() == Verdict::Bad
    }
}
