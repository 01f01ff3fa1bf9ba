//! Measures the latency that entry and sidecar add to a call of an engine.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use fastrand::Rng;
use hyper::Method;
use serde_json::json;
use smol::{Timer, channel};

use crate::bench;
use crate::fleet;
use crate::runtime;
use crate::units;

/// Numbers of concurrent callers in the steps that search for the peak rate.
const PEAK_CALLERS: [usize; 4] = [32, 64, 128, 256];
/// Duration of load before the measurements that is not counted. Connections are opened
/// and the endpoints become warm: five doublings of a limit of 2, each after 0.5 s.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time at the start of each round whose latencies are not recorded.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Time to the engine's first token. A sidecar takes an endpoint for cold when a first
/// token takes over four times the median and 50 ms more than it. With 5 ms here, scheduling
/// delays on a busy machine exceeded that, and the queue behind the cold limit was measured.
const FIRST_TOKEN_DELAY: units::Millis = units::Millis(50);
/// Path of the completion requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Size and duration of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of engines, each a child process.
    pub engines: usize,
    /// Duration of each round; steps of the peak search take half of it.
    pub duration: Duration,
    /// Number of rounds; each measures direct and routed calls with the same arrivals.
    pub rounds: u64,
    /// Seed of the arrivals in the first round; each later round adds one.
    pub seed: u64,
    /// Requests per second; `None` takes half of the measured peak.
    pub rate: Option<f64>,
}

/// Measured rates, latencies and processor times.
#[derive(Debug, serde::Serialize)]
pub struct OverheadReport {
    /// Concurrent callers and the complete answers per second that they reach through the entry.
    pub steps: Vec<(usize, f64)>,
    /// Highest rate of all steps, in requests per second.
    pub peak: f64,
    /// Rate of the rounds, in requests per second.
    pub rate: f64,
    /// Latencies of each round.
    pub rounds: Vec<Round>,
    /// Medians of the rounds' differences.
    pub added: Added,
    /// Processor time of the entry per routed request, in microseconds.
    pub entry_cpu_us: f64,
    /// Processor time of all sidecars per routed request, in microseconds.
    pub sidecar_cpu_us: f64,
}

/// Latencies of one round.
#[derive(Debug, serde::Serialize)]
pub struct Round {
    /// Calls of the engines without entry and sidecar.
    pub direct: AnswerQuantiles,
    /// Calls through entry and sidecar.
    pub routed: AnswerQuantiles,
    /// Latency of routed calls minus that of direct calls.
    pub added: Added,
}

/// Quantiles of the times to the first token and to the end.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct AnswerQuantiles {
    /// Requests without a complete answer, which the quantiles leave out; those of the
    /// settling time count too.
    pub failed: u32,
    /// Time to the first token.
    pub first: bench::Quantiles,
    /// Time to the end of the answer.
    pub whole: bench::Quantiles,
}

/// Latency that routing through entry and sidecar adds.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Added {
    /// Added time to the first token.
    pub first: Difference,
    /// Added time to the end of the answer.
    pub whole: Difference,
}

/// Differences of quantiles, in microseconds.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Difference {
    /// Difference of the medians.
    pub p50_us: f64,
    /// Difference of the 99th percentiles.
    pub p99_us: f64,
}

impl Difference {
    fn between(direct: &bench::Quantiles, routed: &bench::Quantiles) -> Self {
        Self {
            p50_us: routed.p50_us - direct.p50_us,
            p99_us: routed.p99_us - direct.p99_us,
        }
    }

    /// Returns the median of each quantile's differences.
    fn median<'a>(all: impl Iterator<Item = &'a Self> + Clone) -> Self {
        Self {
            p50_us: median(all.clone().map(|difference| difference.p50_us)),
            p99_us: median(all.map(|difference| difference.p99_us)),
        }
    }
}

impl fmt::Display for OverheadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (callers, reached) in &self.steps {
            writeln!(f, "{callers} callers reach {reached:.0} req/s")?;
        }
        writeln!(f, "peak {:.0} req/s, at {:.0} req/s:", self.peak, self.rate)?;
        for round in &self.rounds {
            writeln!(
                f,
                "round:  {}; direct p50 {:.0} us, p99 {:.0} us; failed {} direct, {} routed",
                round.added,
                round.direct.whole.p50_us,
                round.direct.whole.p99_us,
                round.direct.failed,
                round.routed.failed
            )?;
        }
        writeln!(f, "median: {}", self.added)?;
        writeln!(
            f,
            "processor time a request: entry {:.0} us, sidecars {:.0} us",
            self.entry_cpu_us, self.sidecar_cpu_us
        )
    }
}

impl fmt::Display for Added {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "first token p50 +{:.0} us, p99 +{:.0} us; whole answer p50 +{:.0} us, p99 +{:.0} us",
            self.first.p50_us, self.first.p99_us, self.whole.p50_us, self.whole.p99_us
        )
    }
}

/// Finds the peak rate of one entry, then measures rounds of direct and routed calls.
pub async fn run(
    options: Options,
    traffic: &runtime::Traffic,
) -> Result<OverheadReport, bench::BenchError> {
    let deployment =
        bench::Deployment::spawn(&single_domain_mix(options.engines)?, traffic).await?;
    let caller = |addr: SocketAddr| bench::Caller::new(addr, &deployment.tokens[0], traffic);
    let entry = vec![caller(deployment.entries[0])];
    let direct: Vec<_> = deployment
        .engine_addrs
        .iter()
        .copied()
        .map(caller)
        .collect();
    closed_loop(&entry[0], PEAK_CALLERS[1], WARM_UP, traffic).await;
    let mut steps = Vec::new();
    for callers in PEAK_CALLERS {
        let reached = closed_loop(&entry[0], callers, options.duration / 2, traffic).await;
        steps.push((callers, reached));
    }
    let peak = steps
        .iter()
        .map(|(_, reached)| *reached)
        .fold(0.0, f64::max);
    let rate = options.rate.unwrap_or(peak / 2.0);
    let mut rounds = Vec::new();
    let mut cpu = [Duration::ZERO; 2];
    let mut sent = 0;
    for round in 0..options.rounds {
        let seed = options.seed + round;
        let direct = open_loop(&direct, "small-1", rate, options.duration, seed, traffic).await?;
        let before = processor_time(&deployment)?;
        let routed = open_loop(&entry, "chat", rate, options.duration, seed, traffic).await?;
        let after = processor_time(&deployment)?;
        for i in 0..cpu.len() {
            cpu[i] += after[i].saturating_sub(before[i]);
        }
        sent += routed.1;
        let (direct, routed) = (direct.0, routed.0);
        let added = Added {
            first: Difference::between(&direct.first, &routed.first),
            whole: Difference::between(&direct.whole, &routed.whole),
        };
        rounds.push(Round {
            direct,
            routed,
            added,
        });
    }
    let per_request = |cpu: Duration| cpu.as_secs_f64() * 1e6 / f64::from(sent.max(1));
    Ok(OverheadReport {
        steps,
        peak,
        rate,
        added: Added {
            first: Difference::median(rounds.iter().map(|round| &round.added.first)),
            whole: Difference::median(rounds.iter().map(|round| &round.added.whole)),
        },
        rounds,
        entry_cpu_us: per_request(cpu[0]),
        sidecar_cpu_us: per_request(cpu[1]),
    })
}

fn processor_time(deployment: &bench::Deployment) -> Result<[Duration; 2], bench::BenchError> {
    Ok([
        deployment.cpu(fleet::NodeRole::Entry)?,
        deployment.cpu(fleet::NodeRole::Sidecar)?,
    ])
}

/// Returns the middle value; the upper one of an even number of values, 0 of none.
pub fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn single_domain_mix(engines: usize) -> Result<bench::Mix, bench::BenchError> {
    let mix = json!({
        "name": "overhead",
        "domains": 1,
        "entries": 1,
        "engines": engines,
        "engine_processes": true,
        "booking_servers": 0,
        "domain_delay_us": 0,
        "client_delay_us": 0,
        "team_shares": [1.0],
        "models": [{
            "name": "small", "share": 1.0, "cost": 100, "quality": 0.9,
            "first_token_ms": FIRST_TOKEN_DELAY, "between_tokens_ms": 1,
        }],
        "requests": [{
            "kind": { "chat": { "profile": "chat", "quality_target": 0.5, "stream": true, "max_tokens": 1 } },
            "share": 1.0,
            "deadline_ms": 10_000,
        }],
    });
    Ok(serde_json::from_value(mix)?)
}

fn chat_body(model: &str, text: &str) -> String {
    let messages = json!([{ "role": "user", "content": text }]);
    json!({ "model": model, "messages": messages, "max_tokens": 1, "stream": true }).to_string()
}

/// Returns the complete answers per second of concurrent callers that each send one
/// request after the other.
async fn closed_loop(
    caller: &bench::Caller,
    callers: usize,
    duration: Duration,
    traffic: &runtime::Traffic,
) -> f64 {
    let whole = Arc::new(AtomicU64::new(0));
    let end = Instant::now() + duration;
    let tasks: Vec<_> = (0..callers)
        .map(|i| {
            let (caller, whole) = (caller.clone(), Arc::clone(&whole));
            traffic.spawn(async move {
                while Instant::now() < end {
                    let body = chat_body("chat", &format!("peak {i}"));
                    let sent = caller.send(Method::POST, CHAT_PATH, None, body, Instant::now());
                    if sent.await.outcome == bench::Outcome::Complete {
                        whole.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
    let whole = u32::try_from(whole.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
    f64::from(whole) / duration.as_secs_f64()
}

/// Sends requests at a rate; returns the latencies of complete answers and the number of
/// requests sent.
async fn open_loop(
    callers: &[bench::Caller],
    model: &str,
    rate: f64,
    duration: Duration,
    seed: u64,
    traffic: &runtime::Traffic,
) -> Result<(AnswerQuantiles, u32), bench::BenchError> {
    let mut rng = Rng::with_seed(seed);
    let (tx, rx) = channel::unbounded();
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut count = 0;
    loop {
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        if at > SETTLE_TIME + duration {
            break;
        }
        count += 1;
        Timer::at(start + at).await;
        let caller = callers[rng.usize(..callers.len())].clone();
        let (tx, body) = (tx.clone(), chat_body(model, &format!("{seed} {at:?}")));
        let request = async move {
            let sent = caller.send(Method::POST, CHAT_PATH, None, body, start + at);
            let _ = tx.send((at, sent.await)).await;
        };
        traffic.spawn(request).detach();
    }
    drop(tx);
    let mut failed = 0;
    let mut first = bench::Latency::new()?;
    let mut whole = bench::Latency::new()?;
    while let Ok((at, answer)) = rx.recv().await {
        if answer.outcome != bench::Outcome::Complete {
            failed += 1;
        } else if at > SETTLE_TIME {
            first.record(answer.first_token);
            whole.record(answer.total);
        }
    }
    let quantiles = AnswerQuantiles {
        failed,
        first: first.quantiles(),
        whole: whole.quantiles(),
    };
    Ok((quantiles, count))
}
