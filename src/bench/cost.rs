//! Measures the cost of answers at the profiles' quality targets.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use smol::Timer;
use strum::IntoEnumIterator;

use crate::bench;
use crate::bench::open_loop;
use crate::billing;
use crate::ids;
use crate::platform;
use crate::runtime;

/// Maximum cost of the system, relative to always using the most expensive version.
const MAX_COST_SHARE: f64 = 0.6;
/// Time after the end of the load within which all usage records must be in the log.
const USAGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Polling interval for usage records.
const USAGE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Results of the system and of both baselines.
#[derive(Debug, serde::Serialize)]
pub struct CostReport {
    /// Name of the deployment and its traffic.
    pub mix: String,
    /// Seed of arrivals and requests.
    pub seed: u64,
    /// Requests per second over all entries.
    pub rate: f64,
    /// Duration of the load under each policy, in seconds.
    pub seconds: u64,
    /// Cost and quality by policy.
    pub policies: BTreeMap<bench::Policy, PolicyCost>,
    /// Mean cost of an answer under the system, relative to the policy of the most
    /// expensive version.
    pub share: f64,
    /// Whether the cost is within its limit and no team and profile is below its quality target.
    pub met: bool,
}

/// Cost and quality of the answers under one policy.
#[derive(Debug, Default, serde::Serialize)]
pub struct PolicyCost {
    /// Number of complete model answers.
    pub answers: u64,
    /// Model requests without a complete answer.
    pub unanswered: u64,
    /// Mean billed cost of a complete answer, in millionths.
    pub cost: f64,
    /// Mean true quality minus the quality target, by team and profile.
    pub margins: BTreeMap<String, f64>,
    /// Number of team and profile pairs whose mean quality is below the target.
    pub below: u64,
    /// Smallest of the margins; negative where a target is missed.
    pub least_margin: f64,
    /// Complete answers by task and version; `-` stands for no task.
    pub versions: BTreeMap<String, u64>,
}

/// Measures the system and both baselines, each on newly started processes without
/// learned estimates.
pub async fn run(
    mix: &bench::Mix,
    options: open_loop::LoadOptions,
    traffic: &runtime::Traffic,
) -> Result<CostReport, bench::BenchError> {
    let mut policies = BTreeMap::new();
    for policy in bench::Policy::iter() {
        let deployment = bench::Deployment::spawn(mix, traffic).await?;
        let samples = open_loop::run(&deployment, mix, policy, options, traffic).await?;
        let billed_costs = billed_costs(&deployment, &samples).await?;
        policies.insert(policy, measure(mix, &samples, &billed_costs));
    }
    let most_expensive = policies[&bench::Policy::Dearest].cost;
    let system = &policies[&bench::Policy::System];
    let share = system.cost / most_expensive;
    Ok(CostReport {
        mix: mix.name.clone(),
        seed: options.seed,
        rate: options.rate,
        seconds: options.duration.as_secs(),
        share,
        met: share <= MAX_COST_SHARE && system.below == 0,
        policies,
    })
}

/// Returns the billed cost by request id, from the first usage record of each request.
/// Waits for the record of every complete answer; errs on a timeout.
async fn billed_costs(
    deployment: &bench::Deployment,
    samples: &[open_loop::Sample],
) -> Result<HashMap<String, u64>, bench::BenchError> {
    let deadline = Instant::now() + USAGE_TIMEOUT;
    let complete = samples
        .iter()
        .filter(|sample| sample.answer.outcome == bench::Outcome::Complete);
    let ids: Vec<&String> = complete
        .filter_map(|sample| sample.answer.request_id.as_ref())
        .collect();
    loop {
        let mut billed_costs = HashMap::new();
        for record in deployment.log.records(platform::Stream::Usage) {
            let record: billing::UsageRecord = serde_json::from_value(record)?;
            let cost = billed_costs.entry(record.request.to_string());
            cost.or_insert(record.cost.0);
        }
        if ids.iter().all(|id| billed_costs.contains_key(*id)) {
            return Ok(billed_costs);
        }
        if Instant::now() > deadline {
            return Err("complete answers without a usage record after the time limit".into());
        }
        Timer::after(USAGE_POLL_INTERVAL).await;
    }
}

#[allow(clippy::cast_precision_loss)]
fn measure(
    mix: &bench::Mix,
    samples: &[open_loop::Sample],
    billed_costs: &HashMap<String, u64>,
) -> PolicyCost {
    let mut measured = PolicyCost::default();
    let mut cost = 0;
    let mut sums: BTreeMap<(usize, &ids::ProfileName), (f64, f64, f64)> = BTreeMap::new();
    for sample in samples {
        let bench::RequestKind::Chat {
            profile,
            quality_target,
            task,
            ..
        } = &mix.requests[sample.kind].kind
        else {
            continue;
        };
        let answer = &sample.answer;
        let (bench::Outcome::Complete, Some(version)) = (answer.outcome, &answer.version) else {
            measured.unanswered += 1;
            continue;
        };
        measured.answers += 1;
        let billed = answer
            .request_id
            .as_ref()
            .and_then(|id| billed_costs.get(id));
        cost += billed.copied().unwrap_or(0);
        let quality = mix.quality(version, task.as_deref());
        let sum = sums.entry((sample.team, profile)).or_default();
        *sum = (sum.0 + quality, sum.1 + 1.0, quality_target.get());
        let name = format!("{}/{version}", task.as_deref().unwrap_or("-"));
        *measured.versions.entry(name).or_default() += 1;
    }
    measured.cost = cost as f64 / measured.answers as f64;
    for ((team, profile), (sum, count, target)) in sums {
        let margin = sum / count - target;
        let name = format!("team-{team}/{profile}");
        measured.margins.insert(name, margin);
    }
    let margins = measured.margins.values();
    // Tolerance for rounding errors in sums of decimal fractions.
    measured.below = margins.clone().filter(|margin| **margin < -1e-9).count() as u64;
    measured.least_margin = margins.copied().fold(f64::INFINITY, f64::min);
    measured
}

impl fmt::Display for CostReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seed {}, {} req/s for {} s",
            self.mix, self.seed, self.rate, self.seconds
        )?;
        for (policy, measured) in &self.policies {
            writeln!(
                f,
                "{policy:8} {:6} answers, {} unanswered, cost {:7.1}, below target {} of {}, least margin {:+.3}",
                measured.answers,
                measured.unanswered,
                measured.cost,
                measured.below,
                measured.margins.len(),
                measured.least_margin
            )?;
        }
        for (name, count) in &self.policies[&bench::Policy::System].versions {
            writeln!(f, "  system {name}: {count}")?;
        }
        let met = if self.met { "met" } else { "not met" };
        writeln!(
            f,
            "cost relative to the dearest policy {:.3}, goal {MAX_COST_SHARE}: {met}",
            self.share
        )
    }
}
