//! Answers that a bad version gives between its entry and its stop.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::Timer;
use smol::future;
use strum::IntoEnumIterator;

use crate::bench;
use crate::bench::drive;
use crate::ids;
use crate::runtime;
use crate::units;

/// Entries of the experiment.
const ENTRIES: usize = 3;
/// Bound of the profile that the version enters.
const MAX_EXPOSURE: u64 = 100;
/// Time before the version enters.
const BEFORE: Duration = Duration::from_secs(3);
/// Pause between looks at the roll-out.
const POLL: Duration = Duration::from_millis(100);
/// The roll-out.
const ROLLOUT: &str = "bad";

/// Results for all policies.
#[derive(Debug, serde::Serialize)]
pub struct Exposure {
    /// The deployment.
    pub mix: String,
    /// Seed of arrivals and requests.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// True quality of the bad version's answers.
    pub quality: units::Quality,
    /// The bound, over all entries together.
    pub bound: u64,
    /// Milliseconds between entry and stop under the system; `None` where it was not stopped.
    pub stopped_ms: Option<u128>,
    /// Requests of the profile in the whole run that the bad version has begun, by policy.
    pub answers: BTreeMap<bench::Policy, u64>,
    /// Whether the goal is met.
    pub met: bool,
}

/// Runs the system, and the baselines for as long as the system took to stop
/// the version: they have no means to stop it.
pub async fn run(
    mix: &bench::Mix,
    rate: f64,
    time: Duration,
    seed: u64,
    quality: units::Quality,
    traffic: &runtime::Traffic,
) -> Result<Exposure, bench::BenchError> {
    let mix = prepared(mix, quality)?;
    let mut answers = BTreeMap::new();
    let mut stopped = None;
    for policy in bench::Policy::iter() {
        let time = match policy {
            bench::Policy::System => time,
            _ => BEFORE + stopped.unwrap_or(time),
        };
        let bounds = drive::Bounds {
            rate,
            requests: u64::MAX,
            time,
            seed,
        };
        let children = bench::Children::spawn(&mix, traffic).await?;
        let drive = drive::drive(&children, &mix, policy, bounds, traffic);
        let (samples, stop) = future::zip(drive, enter(&children, &mix, policy, time)).await;
        samples?;
        if policy == bench::Policy::System {
            stopped = stop?;
        }
        answers.insert(policy, begun(&children, &mix));
    }
    let met = stopped.is_some() && answers[&bench::Policy::System] <= MAX_EXPOSURE;
    Ok(Exposure {
        mix: mix.name.clone(),
        seed,
        rate,
        quality,
        bound: MAX_EXPOSURE,
        stopped_ms: stopped.map(|time| time.as_millis()),
        answers,
        met,
    })
}

/// Three entries, and a version that is worse than its model's present one.
fn prepared(mix: &bench::Mix, quality: units::Quality) -> Result<bench::Mix, bench::BenchError> {
    let dearest = mix.dearest().ok_or("the mix has no models")?;
    let entering = bench::Entering {
        version: format!("{}-2", dearest.name).parse()?,
        model: dearest.name.clone(),
        quality,
        prior: dearest.quality,
    };
    let mut mix = mix.clone();
    mix.entries = ENTRIES;
    mix.max_exposure = MAX_EXPOSURE;
    mix.entering = Some(entering);
    Ok(mix)
}

/// Publishes the version; under the system by a roll-out, whose stop is awaited.
async fn enter(
    children: &bench::Children,
    mix: &bench::Mix,
    policy: bench::Policy,
    time: Duration,
) -> Result<Option<Duration>, bench::BenchError> {
    let entering = mix.entering.as_ref().ok_or("no version enters")?;
    let profile = profile(mix)?;
    let operator = children.operator(0);
    Timer::after(BEFORE).await;
    if policy == bench::Policy::System {
        let plan = json!({ "profile": profile, "version": entering.version });
        accepted(operator.put(&format!("rollouts/{ROLLOUT}"), &plan).await?)?;
    }
    let version = serde_json::to_value(entering.content(mix, false)?)?;
    let content = version.get("version").ok_or("a version is expected")?;
    let path = format!("versions/{}", entering.version);
    let start = Instant::now();
    accepted(operator.put(&path, content).await?)?;
    // Until its first step a roll-out looks like a stopped one.
    let mut stepping = false;
    while policy == bench::Policy::System && BEFORE + start.elapsed() < time {
        let status = operator.get("status").await?;
        let state = status.pointer("/rollouts/0/state").and_then(Value::as_str);
        stepping |= state == Some("stepping");
        if stepping && state == Some("stopped") {
            return Ok(Some(start.elapsed()));
        }
        Timer::after(POLL).await;
    }
    Ok(None)
}

fn accepted(refused: Option<u64>) -> Result<(), bench::BenchError> {
    match refused {
        None => Ok(()),
        Some(code) => Err(format!("a change was refused with {code}").into()),
    }
}

/// The profile that the version enters: the first of the mix.
fn profile(mix: &bench::Mix) -> Result<&ids::ProfileName, bench::BenchError> {
    let profiles = mix.requests.iter().find_map(|request| match &request.kind {
        bench::Kind::Chat { profile, .. } => Some(profile),
        _ => None,
    });
    Ok(profiles.ok_or("the mix has no model requests")?)
}

/// Requests that the engines have begun on the bad version.
fn begun(children: &bench::Children, mix: &bench::Mix) -> u64 {
    let Some(entering) = &mix.entering else {
        return 0;
    };
    let engines = children.engines.iter();
    engines
        .map(|engine| engine.started(&entering.version))
        .sum()
}

impl fmt::Display for Exposure {
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
