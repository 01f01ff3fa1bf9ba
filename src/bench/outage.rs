//! Measures an outage of the platform's log under load.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use serde_json::json;
use smol::Timer;
use smol::future;

use crate::bench;
use crate::bench::open_loop;
use crate::billing;
use crate::platform;
use crate::runtime;
use crate::standin;

/// Duration of the load before and after the outage.
const NORMAL_PHASE: Duration = Duration::from_secs(5);
/// Time after the load within which all usage records must be in the log; a record that
/// only the sidecar holds is appended after 60 s.
const USAGE_TIMEOUT: Duration = Duration::from_secs(70);
/// Polling interval for usage records.
const USAGE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Results of the load and its usage records.
#[derive(Debug, Default, serde::Serialize)]
pub struct OutageReport {
    /// Name of the deployment and its traffic.
    pub mix: String,
    /// Seed of arrivals and requests.
    pub seed: u64,
    /// Requests per second over all entries.
    pub rate: f64,
    /// Duration of the outage in seconds.
    pub seconds: u64,
    /// Requests by kind and end: `answered`, `broken`, or the numeric result code.
    pub ends: BTreeMap<String, u64>,
    /// Result code of a configuration change during the outage; `None` where it was accepted.
    pub change: Option<u64>,
    /// Number of requests with a complete answer.
    pub answered: u64,
    /// Answered requests without a usage record.
    pub unbilled: u64,
    /// Requests with more than one usage record; readers keep the first.
    pub repeated_records: u64,
    /// Milliseconds from the end of the load until no record was missing, or until the
    /// wait timed out.
    pub billed_ms: u128,
    /// Whether model requests and look-ups were all answered, each answered request has a
    /// usage record, and none has two.
    pub met: bool,
}

/// Measures the system alone; the baselines use the same log and are of no interest here.
pub async fn run(
    mix: &bench::Mix,
    rate: f64,
    outage: Duration,
    seed: u64,
    traffic: &runtime::Traffic,
) -> Result<OutageReport, bench::BenchError> {
    let deployment = bench::Deployment::spawn(mix, traffic).await?;
    let options = open_loop::LoadOptions {
        rate,
        max_requests: u64::MAX,
        duration: outage + 2 * NORMAL_PHASE,
        seed,
    };
    let load = open_loop::run(&deployment, mix, bench::Policy::System, options, traffic);
    let (samples, change) = future::zip(load, cut_off_log(&deployment, outage)).await;
    let mut result = OutageReport {
        mix: mix.name.clone(),
        seed,
        rate,
        seconds: outage.as_secs(),
        change: change?,
        ..OutageReport::default()
    };
    let samples = samples?;
    let lost = count_ends(mix, &samples, &mut result);
    wait_for_usage_records(&deployment, &samples, &mut result).await;
    result.met = lost == 0 && result.unbilled == 0 && result.repeated_records == 0;
    Ok(result)
}

/// Makes the log refuse all requests for `duration` and tries a configuration change
/// halfway. Returns the result code of the change.
async fn cut_off_log(
    deployment: &bench::Deployment,
    duration: Duration,
) -> Result<Option<u64>, bench::BenchError> {
    Timer::after(NORMAL_PHASE).await;
    let set = |outage| {
        let command = standin::LogCommand::Outage(outage);
        deployment.log.control(command);
    };
    set(standin::Outage::Refusing);
    let end = Instant::now() + duration;
    Timer::after(duration / 2).await;
    let operator = deployment.operator(0);
    let change = operator.put("vms/spare", &json!({ "out": true })).await;
    Timer::at(end).await;
    set(standin::Outage::Up);
    change
}

/// Counts how requests ended; returns the number of retryable ones without a complete answer.
fn count_ends(mix: &bench::Mix, samples: &[open_loop::Sample], result: &mut OutageReport) -> u64 {
    let mut lost = 0;
    for sample in samples {
        let kind = &mix.requests[sample.kind].kind;
        let name = match kind {
            bench::RequestKind::Chat { profile, .. } => profile.to_string(),
            bench::RequestKind::Call { .. } => "call".into(),
            bench::RequestKind::LookUp { .. } => "look-up".into(),
        };
        let complete = sample.answer.outcome == bench::Outcome::Complete;
        let end = match sample.answer.code {
            _ if complete => "answered".into(),
            Some(code) => code.to_string(),
            None => "broken".into(),
        };
        *result.ends.entry(format!("{name} {end}")).or_default() += 1;
        result.answered += u64::from(complete);
        lost += u64::from(!complete && !matches!(kind, bench::RequestKind::Call { .. }));
    }
    lost
}

/// Waits for the usage records of all answered requests, and counts missing and repeated ones.
async fn wait_for_usage_records(
    deployment: &bench::Deployment,
    samples: &[open_loop::Sample],
    result: &mut OutageReport,
) {
    let start = Instant::now();
    let complete = samples
        .iter()
        .filter(|sample| sample.answer.outcome == bench::Outcome::Complete);
    let answered_ids: BTreeSet<&String> = complete
        .filter_map(|sample| sample.answer.request_id.as_ref())
        .collect();
    loop {
        let records = deployment.log.records(platform::Stream::Usage);
        let mut counts = HashMap::<String, u64>::new();
        for record in records {
            if let Ok(record) = serde_json::from_value::<billing::UsageRecord>(record) {
                *counts.entry(record.request.to_string()).or_default() += 1;
            }
        }
        let unbilled = answered_ids.iter().filter(|id| !counts.contains_key(**id));
        result.unbilled = unbilled.count() as u64;
        result.repeated_records = counts.values().filter(|count| **count > 1).count() as u64;
        result.billed_ms = start.elapsed().as_millis();
        if result.unbilled == 0 || start.elapsed() > USAGE_TIMEOUT {
            return;
        }
        Timer::after(USAGE_POLL_INTERVAL).await;
    }
}

impl fmt::Display for OutageReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seed {}, {} req/s, outage of {} s",
            self.mix, self.seed, self.rate, self.seconds
        )?;
        for (end, count) in &self.ends {
            writeln!(f, "  {end}: {count}")?;
        }
        writeln!(
            f,
            "change of configuration during the outage: {:?}",
            self.change
        )?;
        let met = if self.met { "met" } else { "not met" };
        writeln!(
            f,
            "answered {}, unbilled {}, with more than one record {}, all billed after {} ms: {met}",
            self.answered, self.unbilled, self.repeated_records, self.billed_ms
        )
    }
}
