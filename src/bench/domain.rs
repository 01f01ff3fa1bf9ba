//! Measures the loss, return, drain and second return of a failure domain under load.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use serde_json::json;
use smol::Timer;
use smol::future;
use strum::IntoEnumIterator;

use crate::bench;
use crate::bench::open_loop;
use crate::runtime;
use crate::standin;
use crate::units;

/// Index of the failure domain that is killed and later drained.
const FAILED_DOMAIN: usize = 1;
/// Maximum time from the operator's order to the last request begun in the domain.
const LAST_WORK_LIMIT: Duration = Duration::from_secs(3);
/// Polling interval for the requests begun in the domain.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Cold start of the engines: a limit of 2 concurrent requests until they are warm.
const COLD_START: standin::ColdStart = standin::ColdStart {
    bears: 2,
    answers: 1_000,
    warm_ms: units::Millis(3_000),
};

/// Results of the system and of both baselines.
#[derive(Debug, serde::Serialize)]
pub struct DomainReport {
    /// Name of the deployment and its traffic.
    pub mix: String,
    /// Seed of arrivals and requests.
    pub seed: u64,
    /// Requests per second over all entries.
    pub rate: f64,
    /// Duration of each phase in seconds: all domains up, killed, restarted, drained, in
    /// service again.
    pub phase: u64,
    /// Lost and late requests by policy.
    pub policies: BTreeMap<bench::Policy, PolicyResult>,
    /// Whether the system lost nothing, overloaded no cold engine and drained the domain in time.
    pub met: bool,
}

/// Requests and engine load under one policy; retryable are all but those of kind `call`.
#[derive(Debug, Default, serde::Serialize)]
pub struct PolicyResult {
    /// Retryable requests sent, each counted once.
    pub sent: u64,
    /// Retryable requests that never got a complete answer.
    pub lost: u64,
    /// Retryable requests with an answer that broke off at an entry outside the killed domain.
    pub broken_elsewhere: u64,
    /// Retryable requests that the caller sent more than once.
    pub repeated: u64,
    /// Complete answers to retryable requests that ended after the deadline.
    pub late: u64,
    /// Requests of all kinds without a complete answer, by result code; 0 where there is no code.
    pub codes: BTreeMap<u64, u64>,
    /// One line for each lost retryable request: kind, end and result code.
    pub lost_requests: Vec<String>,
    /// Longest time between the ends of two consecutive complete answers.
    pub longest_gap_ms: u128,
    /// Time from the operator's order to the last request begun in the domain.
    pub last_work_ms: u128,
    /// Requests begun in the domain after the operator's order was sent.
    pub work_after_order: u64,
    /// Requests begun in the domain between its restart and the order.
    pub work_before_order: u64,
    /// Failures of cold engines that received more requests than they bear, in all domains.
    pub overloads: u64,
    /// Maximum number of concurrent requests on a cold engine, in all domains.
    pub cold_peak: u32,
}

/// Requests begun in the failure domain around the order that drains it.
#[derive(Debug, Default)]
struct DomainWork {
    /// Between the restart and the order.
    before_order: u64,
    /// Time from the order to the last request begun.
    last_start: Duration,
    /// From the order to the end of the phase.
    after_order: u64,
}

/// Measures the system and both baselines through all five phases.
pub async fn run(
    mix: &bench::Mix,
    rate: f64,
    phase: Duration,
    seed: u64,
    traffic: &runtime::Traffic,
) -> Result<DomainReport, bench::BenchError> {
    let mut mix = mix.clone();
    mix.cold = Some(COLD_START);
    let options = open_loop::LoadOptions {
        rate,
        max_requests: u64::MAX,
        duration: 5 * phase,
        seed,
    };
    let mut policies = BTreeMap::new();
    for policy in bench::Policy::iter() {
        let deployment = bench::Deployment::spawn(&mix, traffic).await?;
        let load = open_loop::run(&deployment, &mix, policy, options, traffic);
        let (samples, work) = future::zip(load, fail_and_drain(&deployment, phase)).await;
        policies.insert(policy, measure(&mix, &deployment, &samples?, &work?));
    }
    let system = &policies[&bench::Policy::System];
    let met = system.lost == 0
        && system.broken_elsewhere == 0
        && system.overloads == 0
        && system.last_work_ms < LAST_WORK_LIMIT.as_millis();
    Ok(DomainReport {
        mix: mix.name.clone(),
        seed,
        rate,
        phase: phase.as_secs(),
        policies,
        met,
    })
}

/// Kills, restarts, drains and returns the domain, one phase after the other.
async fn fail_and_drain(
    deployment: &bench::Deployment,
    phase: Duration,
) -> Result<DomainWork, bench::BenchError> {
    Timer::after(phase).await;
    deployment.kill_domain(FAILED_DOMAIN);
    Timer::after(phase).await;
    let at_return = deployment.requests_begun_in(FAILED_DOMAIN);
    deployment.restart_domain(FAILED_DOMAIN).await?;
    Timer::after(phase).await;
    let before_order = deployment.requests_begun_in(FAILED_DOMAIN) - at_return;
    let set_out_of_service = |out| set_out_of_service(deployment, out);
    let start = Instant::now();
    let watch_work = watch_work(deployment, start, phase);
    let (work, taken_out) = future::zip(watch_work, set_out_of_service(true)).await;
    taken_out?;
    set_out_of_service(false).await?;
    Ok(DomainWork {
        before_order,
        ..work
    })
}

/// Takes the domain out of service as an operator, or back into it.
async fn set_out_of_service(
    deployment: &bench::Deployment,
    out: bool,
) -> Result<(), bench::BenchError> {
    let path = format!("domains/domain-{FAILED_DOMAIN}");
    let object = json!({ "out": out });
    match deployment.operator(0).put(&path, &object).await? {
        None => Ok(()),
        Some(code) => Err(format!(
            "changing the domain's service state was refused with result code {code}"
        )
        .into()),
    }
}

/// Counts the requests begun in the domain for `duration` from `start` on.
async fn watch_work(
    deployment: &bench::Deployment,
    start: Instant,
    duration: Duration,
) -> DomainWork {
    let at_order = deployment.requests_begun_in(FAILED_DOMAIN);
    let mut work = DomainWork::default();
    while start.elapsed() < duration {
        Timer::after(POLL_INTERVAL).await;
        let begun = deployment.requests_begun_in(FAILED_DOMAIN) - at_order;
        if begun > work.after_order {
            work.after_order = begun;
            work.last_start = start.elapsed();
        }
    }
    work
}

fn measure(
    mix: &bench::Mix,
    deployment: &bench::Deployment,
    samples: &[open_loop::Sample],
    work: &DomainWork,
) -> PolicyResult {
    let mut result = PolicyResult {
        last_work_ms: work.last_start.as_millis(),
        work_after_order: work.after_order,
        work_before_order: work.before_order,
        longest_gap_ms: longest_gap(samples).as_millis(),
        ..PolicyResult::default()
    };
    for sample in samples {
        let request = &mix.requests[sample.kind];
        let complete = sample.answer.outcome == bench::Outcome::Complete;
        if !complete {
            let code = sample.answer.code.unwrap_or(0);
            *result.codes.entry(code).or_default() += 1;
        }
        if matches!(request.kind, bench::RequestKind::Call { .. }) {
            continue;
        }
        result.sent += 1;
        result.lost += u64::from(!complete);
        if !complete {
            let (end, code) = (sample.end.as_secs_f32(), sample.answer.code);
            let line = format!("{:?} at {end:.1} s: {code:?}", request.kind);
            result.lost_requests.push(line);
        }
        result.repeated += u64::from(!sample.broken_at.is_empty());
        let elsewhere = |entry: &usize| entry % mix.domains != FAILED_DOMAIN;
        result.broken_elsewhere += u64::from(sample.broken_at.iter().any(elsewhere));
        let late = sample.answer.total > request.deadline_ms.duration();
        result.late += u64::from(complete && late);
    }
    for engine in &deployment.engines {
        let stats = engine.stats();
        result.overloads += stats.overloads;
        result.cold_peak = result.cold_peak.max(stats.cold_peak);
    }
    result
}

/// Returns the longest time between the ends of consecutive complete answers.
fn longest_gap(samples: &[open_loop::Sample]) -> Duration {
    let complete = samples
        .iter()
        .filter(|sample| sample.answer.outcome == bench::Outcome::Complete);
    let mut ends: Vec<Duration> = complete.map(|sample| sample.end).collect();
    ends.sort();
    let gaps = ends.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    gaps.max().unwrap_or_default()
}

impl fmt::Display for DomainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seed {}, {} req/s, phases of {} s",
            self.mix, self.seed, self.rate, self.phase
        )?;
        for (policy, result) in &self.policies {
            writeln!(
                f,
                "{policy}: repeatable {}, lost {}, broken at other entries {}, sent again {}, late {}",
                result.sent, result.lost, result.broken_elsewhere, result.repeated, result.late
            )?;
            writeln!(f, "  refused or broken by code {:?}", result.codes)?;
            for line in &result.lost_requests {
                writeln!(f, "  lost {line}")?;
            }
            writeln!(
                f,
                "  longest gap {} ms, begun in the domain: {} before the order, {} after it, the last at {} ms, overloads {}, cold peak {}",
                result.longest_gap_ms,
                result.work_before_order,
                result.work_after_order,
                result.last_work_ms,
                result.overloads,
                result.cold_peak
            )?;
        }
        let met = if self.met { "met" } else { "not met" };
        writeln!(
            f,
            "goals (lost 0, overloads 0, last work under {LAST_WORK_LIMIT:?}): {met}"
        )
    }
}
