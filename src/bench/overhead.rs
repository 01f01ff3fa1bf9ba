//! Latency that entry and sidecar add to a call of an engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use fastrand::Rng;
use hyper::Method;
use serde_json::json;
use smol::{Timer, channel};

use crate::bench;
use crate::runtime;
use crate::units;

/// Callers that together find the peak.
const PEAK_CALLERS: usize = 32;
/// Time at the start of a measurement that does not count, in which
/// connections are opened.
const WARM_UP: Duration = Duration::from_secs(1);
/// Time to the engine's first token.
const FIRST_TOKEN: units::Millis = units::Millis(5);

/// Measured latencies.
#[derive(Debug, serde::Serialize)]
pub struct Overhead {
    /// Requests a second that 32 callers reach through the entry.
    pub peak: f64,
    /// Requests a second of the measurement.
    pub rate: f64,
    /// Latency of the engine alone.
    pub direct: bench::Quantiles,
    /// Latency through entry and sidecar.
    pub through: bench::Quantiles,
    /// Difference of the medians, in microseconds.
    pub added_p50_us: f64,
    /// Difference of the 99th percentiles, in microseconds.
    pub added_p99_us: f64,
}

/// Measures with one entry and `engines` engines, each part for `time`.
pub async fn run(
    engines: usize,
    time: Duration,
    seed: u64,
    traffic: &runtime::Traffic,
) -> Result<Overhead, bench::BenchError> {
    let children = bench::Children::spawn(&mix(engines)?, traffic).await?;
    let caller = |addr: SocketAddr| bench::Caller::new(addr, &children.tokens[0], traffic);
    let entry = vec![caller(children.entries[0])];
    let direct: Vec<_> = children
        .engines
        .iter()
        .map(|engine| caller(engine.addr()))
        .collect();
    let peak = peak(&entry[0], time, traffic).await;
    let rate = peak / 2.0;
    let through = open_loop(&entry, "chat", rate, time, seed, traffic).await?;
    let direct = open_loop(&direct, "small-1", rate, time, seed, traffic).await?;
    Ok(Overhead {
        peak,
        rate,
        direct,
        through,
        added_p50_us: through.p50_us - direct.p50_us,
        added_p99_us: through.p99_us - direct.p99_us,
    })
}

fn mix(engines: usize) -> Result<bench::Mix, bench::BenchError> {
    let mix = json!({
        "name": "overhead",
        "domains": 1,
        "entries": 1,
        "engines": engines,
        "booking_servers": 0,
        "domain_delay_us": 0,
        "client_delay_us": 0,
        "team_shares": [1.0],
        "models": [{
            "name": "small", "share": 1.0, "cost": 100, "quality": 0.9,
            "first_token_ms": FIRST_TOKEN, "between_tokens_ms": 1,
        }],
        "requests": [{
            "kind": { "chat": { "profile": "chat", "quality_target": 0.5, "stream": true, "max_tokens": 1 } },
            "share": 1.0,
            "deadline_ms": 10_000,
        }],
    });
    Ok(serde_json::from_value(mix)?)
}

fn body(model: &str, text: &str) -> String {
    let messages = json!([{ "role": "user", "content": text }]);
    json!({ "model": model, "messages": messages, "max_tokens": 1, "stream": true }).to_string()
}

/// Requests a second of callers that each send one after the other.
async fn peak(caller: &bench::Caller, time: Duration, traffic: &runtime::Traffic) -> f64 {
    let whole = Arc::new(AtomicU64::new(0));
    let end = Instant::now() + time;
    let tasks: Vec<_> = (0..PEAK_CALLERS)
        .map(|i| {
            let (caller, whole) = (caller.clone(), Arc::clone(&whole));
            traffic.spawn(async move {
                while Instant::now() < end {
                    let body = body("chat", &format!("peak {i}"));
                    let path = "/v1/chat/completions";
                    let sent = caller.send(Method::POST, path, None, body, Instant::now());
                    if sent.await.outcome == bench::Outcome::Whole {
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
    f64::from(whole) / time.as_secs_f64()
}

/// Latency of whole answers at a rate; answers that are not whole are an error.
async fn open_loop(
    callers: &[bench::Caller],
    model: &str,
    rate: f64,
    time: Duration,
    seed: u64,
    traffic: &runtime::Traffic,
) -> Result<bench::Quantiles, bench::BenchError> {
    let mut rng = Rng::with_seed(seed);
    let (tx, rx) = channel::unbounded();
    let start = Instant::now();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        if at > WARM_UP + time {
            break;
        }
        Timer::at(start + at).await;
        let caller = callers[rng.usize(..callers.len())].clone();
        let (tx, body) = (tx.clone(), body(model, &format!("{at:?}")));
        let request = async move {
            let path = "/v1/chat/completions";
            let sent = caller.send(Method::POST, path, None, body, start + at);
            let _ = tx.send((at, sent.await)).await;
        };
        traffic.spawn(request).detach();
    }
    drop(tx);
    let mut latency = bench::Latency::new()?;
    while let Ok((at, answered)) = rx.recv().await {
        if answered.outcome != bench::Outcome::Whole {
            return Err(format!("a request ended as {:?}", answered.outcome).into());
        }
        if at > WARM_UP {
            latency.record(answered.whole);
        }
    }
    Ok(latency.quantiles())
}
