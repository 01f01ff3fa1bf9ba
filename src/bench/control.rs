//! Measures the overhead of control traffic in idle processes.

use std::time::Duration;

use smol::Timer;

use crate::bench;
use crate::bench::overhead;
use crate::fleet;
use crate::runtime;

/// Time after the start in which the processes choose and open their connections.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Maximum private memory of all processes together.
const MAX_TOTAL_MEMORY_BYTES: u64 = 10 * 1_024 * 1_024 * 1_024;
/// Time within which every process must apply a configuration change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the fleet and duration of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of entry processes.
    pub entries: usize,
    /// Number of sidecar processes.
    pub sidecars: usize,
    /// Duration of the idle measurement.
    pub duration: Duration,
    /// Number of configuration changes, made one after the other once the idle
    /// measurement has ended.
    pub changes: u64,
    /// Fraction of the processes of each role that cannot reach the log, from 0 to 1.
    pub cut: f64,
}

/// Overhead of control traffic in an idle fleet.
#[derive(Debug, serde::Serialize)]
pub struct ControlReport {
    entries: usize,
    sidecars: usize,
    cut: f64,
    entry: RoleOverhead,
    sidecar: RoleOverhead,
    /// Appends to the log per second, over all streams.
    appends_per_s: f64,
    /// Time in milliseconds until every process had applied each change.
    in_force_ms: Vec<u128>,
}

/// Overhead of the processes of a role; medians except where stated.
#[derive(Debug, serde::Serialize)]
struct RoleOverhead {
    /// Processor time in percent of a core.
    cpu_percent: f64,
    /// Maximum processor time of a single process, in percent of a core.
    cpu_percent_max: f64,
    /// Private memory in MiB at the end of the measurement.
    private_mib: f64,
    /// Bytes per second received from processes of the fleet.
    received_per_s: f64,
    /// Bytes per second sent to processes of the fleet.
    sent_per_s: f64,
}

type Reading = (
    fleet::NodeRole,
    bench::ProcessUsage,
    bench::processes::Counters,
);

async fn read_all(processes: &bench::Processes) -> Result<Vec<Reading>, bench::BenchError> {
    let mut readings = Vec::new();
    for node in &processes.nodes {
        let counters = node.counters().await?;
        readings.push((node.role, node.daemon.usage()?, counters));
    }
    let memory: u64 = readings.iter().map(|(_, usage, _)| usage.private.0).sum();
    if memory > MAX_TOTAL_MEMORY_BYTES {
        return Err("the private memory of all processes exceeds the limit".into());
    }
    Ok(readings)
}

/// Starts the processes, measures them while idle, and then applies the configuration changes.
pub async fn run(
    options: Options,
    traffic: &runtime::Traffic,
) -> Result<ControlReport, bench::BenchError> {
    let Options {
        entries,
        sidecars,
        cut,
        ..
    } = options;
    let processes = bench::Processes::spawn(entries, sidecars, cut, traffic).await?;
    Timer::after(SETTLE_TIME).await;
    let appends = |processes: &bench::Processes| {
        let appends = processes.log.appends();
        appends.values().sum::<u64>()
    };
    let (before, appends_before) = (read_all(&processes).await?, appends(&processes));
    Timer::after(options.duration).await;
    let (after, appends_after) = (read_all(&processes).await?, appends(&processes));
    let of_role = |role| overhead_of(role, &before, &after, options.duration);
    let (entry, sidecar) = (
        of_role(fleet::NodeRole::Entry),
        of_role(fleet::NodeRole::Sidecar),
    );
    let mut in_force_ms = Vec::new();
    for i in 0..options.changes {
        let records = processes.append_change(i)?;
        let taken = processes
            .wait_until_applied(records, CHANGE_TIMEOUT)
            .await?;
        in_force_ms.push(taken.as_millis());
    }
    #[allow(clippy::cast_precision_loss)]
    let appended = (appends_after - appends_before) as f64;
    Ok(ControlReport {
        entries,
        sidecars,
        cut,
        entry,
        sidecar,
        appends_per_s: appended / options.duration.as_secs_f64(),
        in_force_ms,
    })
}

#[allow(clippy::cast_precision_loss)]
fn overhead_of(
    role: fleet::NodeRole,
    before: &[Reading],
    after: &[Reading],
    duration: Duration,
) -> RoleOverhead {
    let pairs: Vec<_> = before
        .iter()
        .zip(after)
        .filter(|(before, _)| before.0 == role)
        .collect();
    let seconds = duration.as_secs_f64();
    let median = |value: &dyn Fn(&Reading, &Reading) -> f64| {
        overhead::median(pairs.iter().map(|(before, after)| value(before, after)))
    };
    let cpu = |before: &Reading, after: &Reading| {
        (after.1 - before.1).cpu.as_secs_f64() / seconds * 100.0
    };
    RoleOverhead {
        cpu_percent: median(&cpu),
        cpu_percent_max: pairs.iter().map(|(a, b)| cpu(a, b)).fold(0.0, f64::max),
        private_mib: median(&|_, after| after.1.private.0 as f64 / 1_048_576.0),
        received_per_s: median(&|a, b| (b.2.received - a.2.received) as f64 / seconds),
        sent_per_s: median(&|a, b| (b.2.sent - a.2.sent) as f64 / seconds),
    }
}
