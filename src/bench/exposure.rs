//! Counts the answers that a bad version gives between its rollout and its stop.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::Timer;
use smol::future;
use strum::IntoEnumIterator;

use crate::bench;
use crate::bench::open_loop;
use crate::ids;
use crate::runtime;
use crate::units;

/// Number of entries in the experiment, in place of the mix's own.
const ENTRY_COUNT: usize = 3;
/// Limit on the answers of a version in rollout, set in all profiles.
const MAX_EXPOSURE: u64 = 100;
/// Time under load before the new version is published.
const LEAD_TIME: Duration = Duration::from_secs(3);
/// Polling interval for the state of the rollout.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Name of the rollout object.
const ROLLOUT_NAME: &str = "bad";

/// Results of the system and of both baselines.
#[derive(Debug, serde::Serialize)]
pub struct ExposureReport {
    /// Name of the deployment and its traffic.
    pub mix: String,
    /// Seed of arrivals and requests.
    pub seed: u64,
    /// Requests per second over all entries.
    pub rate: f64,
    /// True quality of the bad version's answers.
    pub quality: units::Quality,
    /// Limit on the answers of the bad version, over all entries together.
    pub bound: u64,
    /// Milliseconds from the publication of the version to its stop under the system;
    /// `None` where it was not stopped.
    pub stopped_ms: Option<u128>,
    /// Requests begun on the bad version during the whole run, by policy.
    pub answers: BTreeMap<bench::Policy, u64>,
    /// Whether the system stopped the version within the limit.
    pub met: bool,
}

/// Measures the system, and the baselines for as long as the system took to stop the
/// version: they have no means to stop it.
pub async fn run(
    mix: &bench::Mix,
    rate: f64,
    duration: Duration,
    seed: u64,
    quality: units::Quality,
    traffic: &runtime::Traffic,
) -> Result<ExposureReport, bench::BenchError> {
    let mix = with_bad_version(mix, quality)?;
    let mut answers = BTreeMap::new();
    let mut stopped = None;
    for policy in bench::Policy::iter() {
        let duration = match policy {
            bench::Policy::System => duration,
            _ => LEAD_TIME + stopped.unwrap_or(duration),
        };
        let bounds = open_loop::LoadOptions {
            rate,
            max_requests: u64::MAX,
            duration,
            seed,
        };
        let deployment = bench::Deployment::spawn(&mix, traffic).await?;
        let load = open_loop::run(&deployment, &mix, policy, bounds, traffic);
        let (samples, stop) =
            future::zip(load, publish_version(&deployment, &mix, policy, duration)).await;
        samples?;
        if policy == bench::Policy::System {
            stopped = stop?;
        }
        answers.insert(policy, requests_begun(&deployment, &mix));
    }
    let met = stopped.is_some() && answers[&bench::Policy::System] <= MAX_EXPOSURE;
    Ok(ExposureReport {
        mix: mix.name.clone(),
        seed,
        rate,
        quality,
        bound: MAX_EXPOSURE,
        stopped_ms: stopped.map(|duration| duration.as_millis()),
        answers,
        met,
    })
}

/// Returns the mix with three entries and a new version that is worse than its model's present one.
fn with_bad_version(
    mix: &bench::Mix,
    quality: units::Quality,
) -> Result<bench::Mix, bench::BenchError> {
    let most_expensive = mix.most_expensive().ok_or("the mix has no models")?;
    let new_version = bench::NewVersion {
        version: format!("{}-2", most_expensive.name).parse()?,
        model: most_expensive.name.clone(),
        quality,
        prior_quality: most_expensive.quality,
    };
    let mut mix = mix.clone();
    mix.entries = ENTRY_COUNT;
    mix.max_exposure = MAX_EXPOSURE;
    mix.new_version = Some(new_version);
    Ok(mix)
}

/// Publishes the version. Under the system, creates its rollout first and returns the
/// time until it stops; `None` where it does not.
async fn publish_version(
    deployment: &bench::Deployment,
    mix: &bench::Mix,
    policy: bench::Policy,
    duration: Duration,
) -> Result<Option<Duration>, bench::BenchError> {
    let new_version = mix
        .new_version
        .as_ref()
        .ok_or("the mix has no new version")?;
    let profile = rollout_profile(mix)?;
    let operator = deployment.operator(0);
    Timer::after(LEAD_TIME).await;
    if policy == bench::Policy::System {
        let plan = json!({ "profile": profile, "version": new_version.version });
        expect_accepted(
            operator
                .put(&format!("rollouts/{ROLLOUT_NAME}"), &plan)
                .await?,
        )?;
    }
    let version = serde_json::to_value(new_version.object(mix, false)?)?;
    let content = version
        .get("version")
        .ok_or("the new version's object is not a version")?;
    let path = format!("versions/{}", new_version.version);
    let start = Instant::now();
    expect_accepted(operator.put(&path, content).await?)?;
    // A stop counts only after the rollout has been seen stepping.
    let mut stepping = false;
    while policy == bench::Policy::System && LEAD_TIME + start.elapsed() < duration {
        let status = operator.get("status").await?;
        let state = status.pointer("/rollouts/0/state").and_then(Value::as_str);
        stepping |= state == Some("stepping");
        if stepping && state == Some("stopped") {
            return Ok(Some(start.elapsed()));
        }
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(None)
}

fn expect_accepted(refused: Option<u64>) -> Result<(), bench::BenchError> {
    match refused {
        None => Ok(()),
        Some(code) => Err(format!("a change was refused with result code {code}").into()),
    }
}

/// Returns the profile of the rollout: the first one that the mix requests.
fn rollout_profile(mix: &bench::Mix) -> Result<&ids::ProfileName, bench::BenchError> {
    let profiles = mix.requests.iter().find_map(|request| match &request.kind {
        bench::RequestKind::Chat { profile, .. } => Some(profile),
        _ => None,
    });
    Ok(profiles.ok_or("the mix has no model requests")?)
}

/// Returns the number of requests that the engines have begun on the bad version.
fn requests_begun(deployment: &bench::Deployment, mix: &bench::Mix) -> u64 {
    let Some(new_version) = &mix.new_version else {
        return 0;
    };
    let engines = deployment.engines.iter();
    engines
        .map(|engine| engine.started(&new_version.version))
        .sum()
}

impl fmt::Display for ExposureReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seed {}, {} req/s, quality {}",
            self.mix, self.seed, self.rate, self.quality
        )?;
        for (policy, answers) in &self.answers {
            writeln!(f, "{policy:8} {answers} answers of the bad version")?;
        }
        let met = if self.met { "met" } else { "not met" };
        writeln!(
            f,
            "stopped after {:?} ms; bound {}: {met}",
            self.stopped_ms, self.bound
        )
    }
}
