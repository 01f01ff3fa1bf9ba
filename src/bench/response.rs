//! Measures latency and goodput at fractions of the measured capacity.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use strum::IntoEnumIterator;

use crate::bench;
use crate::bench::open_loop;
use crate::bench::report;
use crate::runtime;

/// Concurrent requests of an engine: few, so that the engines and not the machine are the
/// bottleneck.
const ENGINE_MAX_CONCURRENT: u32 = 4;
/// First rate of the search for the capacity, in requests per second.
const INITIAL_RATE: f64 = 20.0;
/// Factor between the rates of consecutive search steps.
const RATE_FACTOR: f64 = 1.25;
/// Maximum number of search steps.
const MAX_STEPS: u32 = 14;
/// Minimum fraction of requests answered in time for a rate to count as within the capacity.
const MIN_IN_TIME_FRACTION: f64 = 0.99;
/// Fractions of the capacity at which each policy is measured.
const CAPACITY_FRACTIONS: [f64; 4] = [0.5, 0.8, 1.0, 1.1];
/// Minimum goodput at 110% of the capacity, relative to that at 100%.
const MIN_GOODPUT_RATIO: f64 = 0.95;

/// Results of the system and of both baselines.
#[derive(Debug, serde::Serialize)]
pub struct CapacityReport {
    /// Capacity and measurements by policy.
    pub policies: BTreeMap<bench::Policy, PolicyCurve>,
    /// Whether the system's goodput ratio reaches the minimum.
    pub met: bool,
}

/// Capacity of one policy, and its reports at fractions of it.
#[derive(Debug, serde::Serialize)]
pub struct PolicyCurve {
    /// Highest rate in requests per second at which enough answers were in time; the
    /// first rate where none was.
    pub capacity: f64,
    /// Reports at 50%, 80%, 100% and 110% of the capacity.
    pub reports: Vec<bench::LoadReport>,
    /// Goodput at 110% of the capacity, relative to that at 100%.
    pub goodput: f64,
}

/// Measures the system and both baselines, each step for `duration`.
pub async fn run(
    mix: &bench::Mix,
    duration: Duration,
    seed: u64,
    traffic: &runtime::Traffic,
) -> Result<CapacityReport, bench::BenchError> {
    let mut mix = mix.clone();
    mix.engine_concurrent = ENGINE_MAX_CONCURRENT;
    let mut policies = BTreeMap::new();
    for policy in bench::Policy::iter() {
        let deployment = bench::Deployment::spawn(&mix, traffic).await?;
        let mix = &mix;
        let deployment = &deployment;
        let measure_at = |rate, seed| async move {
            let options = open_loop::LoadOptions {
                rate,
                max_requests: u64::MAX,
                duration,
                seed,
            };
            let samples = open_loop::run(deployment, mix, policy, options, traffic).await?;
            report::summarize(mix, options, &samples)
        };
        let mut capacity = INITIAL_RATE;
        let mut rate = INITIAL_RATE;
        for step in 0..MAX_STEPS {
            let report = measure_at(rate, seed + u64::from(step)).await?;
            if ratio(report.in_time, report.sent) < MIN_IN_TIME_FRACTION {
                break;
            }
            capacity = rate;
            rate *= RATE_FACTOR;
        }
        let mut reports = Vec::new();
        for (fraction, step) in CAPACITY_FRACTIONS.iter().zip(100..) {
            reports.push(measure_at(capacity * fraction, seed + step).await?);
        }
        let goodput = ratio(reports[3].in_time, reports[2].in_time);
        let curve = PolicyCurve {
            capacity,
            reports,
            goodput,
        };
        policies.insert(policy, curve);
    }
    let met = policies[&bench::Policy::System].goodput >= MIN_GOODPUT_RATIO;
    Ok(CapacityReport { policies, met })
}

#[allow(clippy::cast_precision_loss)]
fn ratio(numerator: u64, denominator: u64) -> f64 {
    numerator as f64 / denominator.max(1) as f64
}

impl fmt::Display for CapacityReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (policy, curve) in &self.policies {
            writeln!(f, "{policy}: capacity {:.0} req/s", curve.capacity)?;
            for report in &curve.reports {
                write!(f, "{report}")?;
            }
            writeln!(f, "goodput at 110% against 100%: {:.3}", curve.goodput)?;
        }
        let met = if self.met { "met" } else { "not met" };
        writeln!(f, "goal of the system {MIN_GOODPUT_RATIO}: {met}")
    }
}
