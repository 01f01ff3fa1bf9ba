//! A failure domain leaves without notice, returns, is taken out and returns.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use serde_json::json;
use smol::Timer;
use smol::future;
use strum::IntoEnumIterator;

use crate::bench;
use crate::bench::drive;
use crate::runtime;
use crate::standin;
use crate::units;

/// The failure domain that leaves.
const DOMAIN: usize = 1;
/// Longest time from the operator's order to the last new work in the domain.
const GOAL: Duration = Duration::from_secs(3);
/// Pause between looks at the work of the domain's endpoints.
const POLL: Duration = Duration::from_millis(5);
/// Cold engines of the experiment.
const COLD: standin::ColdStart = standin::ColdStart {
    bears: 2,
    answers: 1_000,
    warm_ms: units::Millis(3_000),
};

/// Results for all policies.
#[derive(Debug, serde::Serialize)]
pub struct Domain {
    /// The deployment.
    pub mix: String,
    /// Seed of arrivals and requests.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// Time of each phase in seconds: whole, killed, returned, taken out, returned.
    pub phase: u64,
    /// Results by policy.
    pub policies: BTreeMap<bench::Policy, Left>,
    /// Whether the system meets the goals.
    pub met: bool,
}

/// Results of one policy.
#[derive(Debug, Default, serde::Serialize)]
pub struct Left {
    /// Repeatable requests.
    pub sent: u64,
    /// Repeatable requests that had no whole answer in the end.
    pub lost: u64,
    /// Repeatable requests whose answer broke off at an entry that did not leave.
    pub broken_elsewhere: u64,
    /// Repeatable requests that the caller sent again.
    pub repeated: u64,
    /// Whole answers to repeatable requests after their deadline.
    pub late: u64,
    /// Requests that were refused at last, by result code, also calls that
    /// must not be repeated; 0 where there is no code.
    pub codes: BTreeMap<u64, u64>,
    /// The repeatable requests that were lost: kind, end and result code.
    pub lost_requests: Vec<String>,
    /// Longest time without the end of an answer.
    pub longest_gap_ms: u128,
    /// Last new work in the domain after the operator's order was sent.
    pub last_work_ms: u128,
    /// Requests begun in the domain after the operator's order was sent.
    pub work_after_order: u64,
    /// Requests begun in the domain between its return and the order.
    pub work_before_order: u64,
    /// Failures of cold engines for more load than they bear.
    pub overloads: u64,
    /// Most requests at a time on a cold engine.
    pub cold_peak: u32,
}

/// Work in the domain after it is taken out.
#[derive(Debug, Default)]
struct Work {
    before: u64,
    last: Duration,
    begun: u64,
}

/// Runs the system and both baselines.
pub async fn run(
    mix: &bench::Mix,
    rate: f64,
    phase: Duration,
    seed: u64,
    traffic: &runtime::Traffic,
) -> Result<Domain, bench::BenchError> {
    let mut mix = mix.clone();
    mix.cold = Some(COLD);
    let bounds = drive::Bounds {
        rate,
        requests: u64::MAX,
        time: 5 * phase,
        seed,
    };
    let mut policies = BTreeMap::new();
    for policy in bench::Policy::iter() {
        let children = bench::Children::spawn(&mix, traffic).await?;
        let drive = drive::drive(&children, &mix, policy, bounds, traffic);
        let (samples, work) = future::zip(drive, leave(&children, phase)).await;
        policies.insert(policy, measure(&mix, &children, &samples?, &work?));
    }
    let system = &policies[&bench::Policy::System];
    let met = system.lost == 0
        && system.broken_elsewhere == 0
        && system.overloads == 0
        && system.last_work_ms < GOAL.as_millis();
    Ok(Domain {
        mix: mix.name.clone(),
        seed,
        rate,
        phase: phase.as_secs(),
        policies,
        met,
    })
}

async fn leave(children: &bench::Children, phase: Duration) -> Result<Work, bench::BenchError> {
    Timer::after(phase).await;
    children.kill_domain(DOMAIN);
    Timer::after(phase).await;
    let at_return = children.work_of(DOMAIN);
    children.restart_domain(DOMAIN).await?;
    Timer::after(phase).await;
    let before = children.work_of(DOMAIN) - at_return;
    let order = |out| order(children, out);
    let start = Instant::now();
    let watch = watch(children, start, phase);
    let (work, taken_out) = future::zip(watch, order(true)).await;
    taken_out?;
    order(false).await?;
    Ok(Work { before, ..work })
}

async fn order(children: &bench::Children, out: bool) -> Result<(), bench::BenchError> {
    let path = format!("domains/domain-{DOMAIN}");
    let object = json!({ "out": out });
    match children.operator(0).put(&path, &object).await? {
        None => Ok(()),
        Some(code) => Err(format!("the operator's order was refused with {code}").into()),
    }
}

async fn watch(children: &bench::Children, start: Instant, time: Duration) -> Work {
    let at_order = children.work_of(DOMAIN);
    let mut work = Work::default();
    while start.elapsed() < time {
        Timer::after(POLL).await;
        let begun = children.work_of(DOMAIN) - at_order;
        if begun > work.begun {
            work.begun = begun;
            work.last = start.elapsed();
        }
    }
    work
}

fn measure(
    mix: &bench::Mix,
    children: &bench::Children,
    samples: &[drive::Sample],
    work: &Work,
) -> Left {
    let mut left = Left {
        last_work_ms: work.last.as_millis(),
        work_after_order: work.begun,
        work_before_order: work.before,
        longest_gap_ms: longest_gap(samples).as_millis(),
        ..Left::default()
    };
    for sample in samples {
        let request = &mix.requests[sample.kind];
        let whole = sample.answered.outcome == bench::Outcome::Whole;
        if !whole {
            let code = sample.answered.code.unwrap_or(0);
            *left.codes.entry(code).or_default() += 1;
        }
        if matches!(request.kind, bench::Kind::Call { .. }) {
            continue;
        }
        left.sent += 1;
        left.lost += u64::from(!whole);
        if !whole {
            let (end, code) = (sample.end.as_secs_f32(), sample.answered.code);
            let line = format!("{:?} at {end:.1} s: {code:?}", request.kind);
            left.lost_requests.push(line);
        }
        left.repeated += u64::from(!sample.broken_at.is_empty());
        let elsewhere = |entry: &usize| entry % mix.domains != DOMAIN;
        left.broken_elsewhere += u64::from(sample.broken_at.iter().any(elsewhere));
        let late = sample.answered.whole > request.deadline_ms.duration();
        left.late += u64::from(whole && late);
    }
    for engine in &children.engines {
        let stats = engine.stats();
        left.overloads += stats.overloads;
        left.cold_peak = left.cold_peak.max(stats.cold_peak);
    }
    left
}

fn longest_gap(samples: &[drive::Sample]) -> Duration {
    let whole = samples
        .iter()
        .filter(|sample| sample.answered.outcome == bench::Outcome::Whole);
    let mut ends: Vec<Duration> = whole.map(|sample| sample.end).collect();
    ends.sort();
    let gaps = ends.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    gaps.max().unwrap_or_default()
}

impl fmt::Display for Domain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seed {}, {} req/s, phases of {} s",
            self.mix, self.seed, self.rate, self.phase
        )?;
        for (policy, left) in &self.policies {
            writeln!(
                f,
                "{policy}: repeatable {}, lost {}, broken at other entries {}, sent again {}, late {}",
                left.sent, left.lost, left.broken_elsewhere, left.repeated, left.late
            )?;
            writeln!(f, "  refused or broken by code {:?}", left.codes)?;
            for line in &left.lost_requests {
                writeln!(f, "  lost {line}")?;
            }
            writeln!(
                f,
                "  longest gap {} ms, begun in the domain: {} before the order, {} after it, the last at {} ms, overloads {}, cold peak {}",
                left.longest_gap_ms,
                left.work_before_order,
                left.work_after_order,
                left.last_work_ms,
                left.overloads,
                left.cold_peak
            )?;
        }
        let met = if self.met { "met" } else { "not met" };
        writeln!(
            f,
            "goals (lost 0, overloads 0, last work under {GOAL:?}): {met}"
        )
    }
}
