//! Command line of the load and measurement tool.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use async_signal::{Signal, Signals};
use smol::future::FutureExt;
use smol::stream::StreamExt;

use crate::bench;
use crate::bench::control;
use crate::bench::cost;
use crate::bench::domain;
use crate::bench::encoded;
use crate::bench::exposure;
use crate::bench::load;
use crate::bench::open_loop;
use crate::bench::outage;
use crate::bench::overhead;
use crate::bench::response;
use crate::bench::route;
use crate::bench::tables;
use crate::runtime;
use crate::units;

/// Threads that run the callers and the stand-ins of this process.
const TRAFFIC_THREADS: usize = 3;
/// Seed where the command line gives none.
const DEFAULT_SEED: u64 = 1;

xflags::xflags! {
    /// Load and measurements on loopback, with daemons as child processes.
    cmd quetzalworks-bench {
        /// Open-loop load on a deployment.
        cmd load {
            /// Deployment and traffic (JSON).
            required --mix path: PathBuf
            /// Requests a second; 20 where not given.
            optional --rate rate: f64
            /// Most requests; 100000 where not given.
            optional --requests count: u64
            /// Longest time in seconds; 10 where not given.
            optional --seconds seconds: u64
            /// Seed of arrivals and requests.
            optional --seed seed: u64
            /// Prints JSON in place of a table.
            optional --json
        }
        /// Cost of answers at the quality targets, against both baselines.
        cmd cost {
            /// Deployment and traffic (JSON).
            required --mix path: PathBuf
            /// Requests a second; 20 where not given.
            optional --rate rate: f64
            /// Time of each policy in seconds; 60 where not given.
            optional --seconds seconds: u64
            /// Seed of arrivals and requests.
            optional --seed seed: u64
            /// Prints JSON in place of a table.
            optional --json
        }
        /// A failure domain leaves without notice, returns, is taken out and returns.
        cmd domain {
            /// Deployment and traffic (JSON).
            required --mix path: PathBuf
            /// Requests a second; 40 where not given.
            optional --rate rate: f64
            /// Time of each of five phases in seconds; 8 where not given.
            optional --phase seconds: u64
            /// Seed of arrivals and requests.
            optional --seed seed: u64
            /// Prints JSON in place of a table.
            optional --json
        }
        /// Answers of a bad version between its entry and its stop.
        cmd exposure {
            /// Deployment and traffic (JSON).
            required --mix path: PathBuf
            /// Requests a second; 30 where not given.
            optional --rate rate: f64
            /// True quality of the version; 0.3 where not given.
            optional --quality quality: f64
            /// Time of the system in seconds; 40 where not given.
            optional --seconds seconds: u64
            /// Seed of arrivals and requests.
            optional --seed seed: u64
            /// Prints JSON in place of a table.
            optional --json
        }
        /// An outage of the platform's log under load.
        cmd outage {
            /// Deployment and traffic (JSON).
            required --mix path: PathBuf
            /// Requests a second; 20 where not given.
            optional --rate rate: f64
            /// Length of the outage in seconds; 30 where not given.
            optional --seconds seconds: u64
            /// Seed of arrivals and requests.
            optional --seed seed: u64
            /// Prints JSON in place of a table.
            optional --json
        }
        /// Latency and goodput at shares of the measured capacity.
        cmd latency {
            /// Deployment and traffic (JSON).
            required --mix path: PathBuf
            /// Time of each step in seconds; 5 where not given.
            optional --seconds seconds: u64
            /// Seed of arrivals and requests.
            optional --seed seed: u64
            /// Prints JSON in place of a table.
            optional --json
        }
        /// Time of a routing decision.
        cmd route {
            /// Endpoints; 600 where not given.
            optional --endpoints count: usize
            /// Decisions; 100000 where not given.
            optional --count count: u64
            /// Seed of the requests.
            optional --seed seed: u64
            /// Prints JSON in place of text.
            optional --json
        }
        /// Latency that entry and sidecar add, at half of the measured peak.
        cmd overhead {
            /// Engines; 4 where not given.
            optional --engines count: usize
            /// Time of each round in seconds; 5 where not given.
            optional --seconds seconds: u64
            /// Rounds; 3 where not given.
            optional --rounds count: u64
            /// Requests a second; half of the measured peak where not given.
            optional --rate rate: f64
            /// Seed of the arrivals.
            optional --seed seed: u64
            /// Prints JSON in place of text.
            optional --json
        }
        /// Time and memory of an entry's tables, and sizes of messages.
        cmd tables {
            /// Entries; 360 where not given.
            optional --entries count: usize
            /// Endpoints; 600 where not given.
            optional --endpoints count: usize
        }
        /// Processor time, memory and bytes of idle processes.
        cmd control {
            /// Entries; 4 where not given.
            optional --entries count: usize
            /// Sidecars; 20 where not given.
            optional --sidecars count: usize
            /// Time of the measurement in seconds; 10 where not given.
            optional --seconds seconds: u64
            /// Configuration changes during the measurement; none where not given.
            optional --changes count: u64
            /// Share of the processes that cannot reach the log; 0 where not given.
            optional --cut share: f64
        }
    }
}

/// Runs the experiment that the command line selects.
#[must_use]
pub fn main() -> ExitCode {
    let flags = QuetzalworksBench::from_env_or_exit();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match smol::block_on(run(flags.subcommand).or(wait_for_interrupt())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("standin: the experiment failed: {err}.");
            ExitCode::FAILURE
        }
    }
}

/// Errs on SIGINT or SIGTERM, so that the child processes are killed and the temporary
/// folder is removed before the exit.
async fn wait_for_interrupt() -> Result<(), bench::BenchError> {
    let mut signals = Signals::new([Signal::Int, Signal::Term])?;
    signals.next().await;
    Err("interrupted".into())
}

async fn run(command: QuetzalworksBenchCmd) -> Result<(), bench::BenchError> {
    match command {
        QuetzalworksBenchCmd::Load(flags) => run_load(flags).await,
        QuetzalworksBenchCmd::Cost(flags) => run_cost(flags).await,
        QuetzalworksBenchCmd::Domain(flags) => run_domain(flags).await,
        QuetzalworksBenchCmd::Exposure(flags) => run_exposure(flags).await,
        QuetzalworksBenchCmd::Outage(flags) => run_outage(flags).await,
        QuetzalworksBenchCmd::Latency(flags) => run_latency(flags).await,
        QuetzalworksBenchCmd::Route(flags) => run_route(&flags),
        QuetzalworksBenchCmd::Overhead(flags) => run_overhead(flags).await,
        QuetzalworksBenchCmd::Tables(flags) => run_tables(&flags),
        QuetzalworksBenchCmd::Control(flags) => run_control(flags).await,
    }
}

async fn run_load(flags: Load) -> Result<(), bench::BenchError> {
    let traffic = runtime::Traffic::spawn_threads(TRAFFIC_THREADS)?;
    let mix = bench::Mix::open(&flags.mix)?;
    let options = open_loop::LoadOptions {
        rate: flags.rate.unwrap_or(20.0),
        max_requests: flags.requests.unwrap_or(100_000),
        duration: Duration::from_secs(flags.seconds.unwrap_or(10)),
        seed: flags.seed.unwrap_or(DEFAULT_SEED),
    };
    let report = load::run(&mix, options, &traffic).await?;
    print(&report, flags.json)
}

async fn run_cost(flags: Cost) -> Result<(), bench::BenchError> {
    let traffic = runtime::Traffic::spawn_threads(TRAFFIC_THREADS)?;
    let mix = bench::Mix::open(&flags.mix)?;
    let options = open_loop::LoadOptions {
        rate: flags.rate.unwrap_or(20.0),
        max_requests: u64::MAX,
        duration: Duration::from_secs(flags.seconds.unwrap_or(60)),
        seed: flags.seed.unwrap_or(DEFAULT_SEED),
    };
    print(&cost::run(&mix, options, &traffic).await?, flags.json)
}

async fn run_domain(flags: Domain) -> Result<(), bench::BenchError> {
    let traffic = runtime::Traffic::spawn_threads(TRAFFIC_THREADS)?;
    let mix = bench::Mix::open(&flags.mix)?;
    let rate = flags.rate.unwrap_or(40.0);
    let phase = Duration::from_secs(flags.phase.unwrap_or(8));
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    let result = domain::run(&mix, rate, phase, seed, &traffic).await?;
    print(&result, flags.json)
}

async fn run_exposure(flags: Exposure) -> Result<(), bench::BenchError> {
    let traffic = runtime::Traffic::spawn_threads(TRAFFIC_THREADS)?;
    let mix = bench::Mix::open(&flags.mix)?;
    let rate = flags.rate.unwrap_or(30.0);
    let duration = Duration::from_secs(flags.seconds.unwrap_or(40));
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    let quality = units::Quality::clamped(flags.quality.unwrap_or(0.3));
    let result = exposure::run(&mix, rate, duration, seed, quality, &traffic).await?;
    print(&result, flags.json)
}

async fn run_outage(flags: Outage) -> Result<(), bench::BenchError> {
    let traffic = runtime::Traffic::spawn_threads(TRAFFIC_THREADS)?;
    let mix = bench::Mix::open(&flags.mix)?;
    let rate = flags.rate.unwrap_or(20.0);
    let duration = Duration::from_secs(flags.seconds.unwrap_or(30));
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    let result = outage::run(&mix, rate, duration, seed, &traffic).await?;
    print(&result, flags.json)
}

async fn run_latency(flags: Latency) -> Result<(), bench::BenchError> {
    let traffic = runtime::Traffic::spawn_threads(TRAFFIC_THREADS)?;
    let mix = bench::Mix::open(&flags.mix)?;
    let duration = Duration::from_secs(flags.seconds.unwrap_or(5));
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    let result = response::run(&mix, duration, seed, &traffic).await?;
    print(&result, flags.json)
}

/// Prints a result as JSON or as a table.
fn print(
    result: &(impl serde::Serialize + std::fmt::Display),
    json: bool,
) -> Result<(), bench::BenchError> {
    if json {
        println!("{}", serde_json::to_string_pretty(result)?);
    } else {
        print!("{result}");
    }
    Ok(())
}

fn run_route(flags: &Route) -> Result<(), bench::BenchError> {
    let endpoints = flags.endpoints.unwrap_or(600);
    let count = flags.count.unwrap_or(100_000);
    let quantiles = route::run(endpoints, count, flags.seed.unwrap_or(DEFAULT_SEED))?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&quantiles)?);
    } else {
        println!(
            "{count} decisions with {endpoints} endpoints: mean {:.2} us, p50 {:.2} us, p99 {:.2} us",
            quantiles.mean_us, quantiles.p50_us, quantiles.p99_us
        );
    }
    Ok(())
}

async fn run_overhead(flags: Overhead) -> Result<(), bench::BenchError> {
    let traffic = runtime::Traffic::spawn_threads(TRAFFIC_THREADS)?;
    let options = overhead::Options {
        engines: flags.engines.unwrap_or(4),
        duration: Duration::from_secs(flags.seconds.unwrap_or(5)),
        rounds: flags.rounds.unwrap_or(3),
        seed: flags.seed.unwrap_or(DEFAULT_SEED),
        rate: flags.rate,
    };
    let overhead = overhead::run(options, &traffic).await?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&overhead)?);
    } else {
        print!("{overhead}");
    }
    Ok(())
}

fn run_tables(flags: &Tables) -> Result<(), bench::BenchError> {
    let entries = flags.entries.unwrap_or(360);
    let endpoints = flags.endpoints.unwrap_or(600);
    let tables = tables::run(entries, endpoints)?;
    println!("{}", serde_json::to_string(&tables)?);
    println!(
        "{}",
        serde_json::to_string(&encoded::run(entries, endpoints)?)?
    );
    Ok(())
}

async fn run_control(flags: Control) -> Result<(), bench::BenchError> {
    let traffic = runtime::Traffic::spawn_threads(TRAFFIC_THREADS)?;
    let options = control::Options {
        entries: flags.entries.unwrap_or(4),
        sidecars: flags.sidecars.unwrap_or(20),
        duration: Duration::from_secs(flags.seconds.unwrap_or(10)),
        changes: flags.changes.unwrap_or(0),
        cut: flags.cut.unwrap_or(0.0),
    };
    let idle = control::run(options, &traffic).await?;
    println!("{}", serde_json::to_string(&idle)?);
    Ok(())
}
