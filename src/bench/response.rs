//! Latency and goodput at shares of the measured capacity.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use strum::IntoEnumIterator;

use crate::bench;
use crate::bench::drive;
use crate::bench::report;
use crate::runtime;

/// Concurrent requests of an engine: few, so that the engines and not the
/// machine are the bottleneck.
const CONCURRENT: u32 = 4;
/// First rate of the search for the capacity, in requests a second.
const FIRST_RATE: f64 = 20.0;
/// Factor between steps of the search.
const STEP: f64 = 1.25;
/// Most steps of the search.
const MAX_STEPS: u32 = 14;
/// Share of requests that are answered in time at the capacity.
const IN_TIME: f64 = 0.99;
/// Shares of the capacity that are measured.
const SHARES: [f64; 4] = [0.5, 0.8, 1.0, 1.1];
/// Least goodput at 110% of the capacity against that at 100%.
const GOAL: f64 = 0.95;

/// Results for all policies.
#[derive(Debug, serde::Serialize)]
pub struct Response {
    /// Results by policy.
    pub policies: BTreeMap<bench::Policy, Curve>,
    /// Whether the system meets the goal.
    pub met: bool,
}

/// Results of one policy.
#[derive(Debug, serde::Serialize)]
pub struct Curve {
    /// Highest rate of the search at which nearly all answers were in time.
    pub capacity: f64,
    /// Reports at the shares of the capacity.
    pub reports: Vec<bench::Report>,
    /// Goodput at 110% of the capacity against that at 100%.
    pub goodput: f64,
}

/// Runs the system and both baselines, each step for `time`.
pub async fn run(
    mix: &bench::Mix,
    time: Duration,
    seed: u64,
    traffic: &runtime::Traffic,
) -> Result<Response, bench::BenchError> {
    let mut mix = mix.clone();
    mix.engine_concurrent = CONCURRENT;
    let mut policies = BTreeMap::new();
    for policy in bench::Policy::iter() {
        let children = bench::Children::spawn(&mix, traffic).await?;
        let mix = &mix;
        let children = &children;
        let at = |rate, seed| async move {
            let bounds = drive::Bounds {
                rate,
                requests: u64::MAX,
                time,
                seed,
            };
            let samples = drive::drive(children, mix, policy, bounds, traffic).await?;
            report::of(mix, bounds, &samples)
        };
        let mut capacity = FIRST_RATE;
        let mut rate = FIRST_RATE;
        for step in 0..MAX_STEPS {
            let report = at(rate, seed + u64::from(step)).await?;
            if share(report.in_time, report.sent) < IN_TIME {
                break;
            }
            capacity = rate;
            rate *= STEP;
        }
        let mut reports = Vec::new();
        for (share, step) in SHARES.iter().zip(100..) {
            reports.push(at(capacity * share, seed + step).await?);
        }
        let goodput = share(reports[3].in_time, reports[2].in_time);
        let curve = Curve {
            capacity,
            reports,
            goodput,
        };
        policies.insert(policy, curve);
    }
    let met = policies[&bench::Policy::System].goodput >= GOAL;
    Ok(Response { policies, met })
}

#[allow(clippy::cast_precision_loss)]
fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

impl fmt::Display for Response {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (policy, curve) in &self.policies {
            writeln!(f, "{policy}: capacity {:.0} req/s", curve.capacity)?;
            for report in &curve.reports {
                write!(f, "{report}")?;
            }
            writeln!(f, "goodput at 110% against 100%: {:.3}", curve.goodput)?;
        }
        let met = if self.met { "met" } else { "not met" };
        writeln!(f, "goal of the system {GOAL}: {met}")
    }
}
