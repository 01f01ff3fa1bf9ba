//! Evidence that something happens more often to one version than to the others.

use std::fmt;

/// Extra shares of the attempts that are tried as an explanation.
const EXTRA_SHARES: [f64; 12] = [
    0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.75, 0.99,
];
/// Attempts, and hits among them, that are assumed of both sides beside the counted ones:
/// a rate of zero in a few attempts is no proof of a rate of zero.
const PRIOR_ATTEMPTS: f64 = 10.0;
const PRIOR_HITS: f64 = 0.5;

/// Negative natural logarithm of how likely a result is by chance.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Nats(pub f64);

impl fmt::Display for Nats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}", self.0)
    }
}

/// Attempts, and how many of them were hits: failures, or slow ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Number of attempts.
    pub attempts: u32,
    /// Hits among them.
    pub hits: u32,
}

impl Counts {
    /// Returns the sum of both counts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            attempts: self.attempts.saturating_add(other.attempts),
            hits: self.hits.saturating_add(other.hits),
        }
    }

    /// Returns these counts without those of a part.
    #[must_use]
    pub const fn minus(self, part: Self) -> Self {
        Self {
            attempts: self.attempts.saturating_sub(part.attempts),
            hits: self.hits.saturating_sub(part.hits),
        }
    }

    /// Returns the fraction of hits; 0 without attempts.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.hits) / f64::from(self.attempts.max(1))
    }

    fn smoothed_rate(self) -> f64 {
        (f64::from(self.hits) + PRIOR_HITS) / (f64::from(self.attempts) + PRIOR_ATTEMPTS)
    }

    /// Logarithm of the ratio of the likelihoods of these counts at two rates.
    fn log_likelihood_ratio(self, rate: f64, null_rate: f64) -> f64 {
        let misses = f64::from(self.attempts.saturating_sub(self.hits));
        f64::from(self.hits).mul_add(
            (rate / null_rate).ln(),
            misses * ((1.0 - rate) / (1.0 - null_rate)).ln(),
        )
    }
}

/// Counts of the new version and of the others for one kind of attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stratum {
    /// Counts of the new version.
    pub target: Counts,
    /// Counts of the other versions.
    pub others: Counts,
}

impl Stratum {
    /// Compares the explanation that an extra share of the new version's attempts are hits
    /// with the one that all versions have the same rate.
    fn log_likelihood_ratio(&self, extra: f64) -> f64 {
        let common = self.target.plus(self.others).smoothed_rate();
        let usual = self.others.smoothed_rate();
        let raised = (1.0 - usual).mul_add(extra, usual);
        self.target.log_likelihood_ratio(raised, common)
            + self.others.log_likelihood_ratio(usual, common)
    }
}

/// Returns the evidence that the new version has more hits than the others. All strata
/// share one extra share, so that those with many hits on every version dilute nothing.
#[must_use]
pub fn evidence(strata: &[Stratum]) -> Nats {
    let explained = EXTRA_SHARES.iter().map(|extra| {
        let ratios = strata.iter().map(|each| each.log_likelihood_ratio(*extra));
        ratios.sum::<f64>()
    });
    Nats(explained.fold(0.0, f64::max))
}
