//! Open-loop load on a deployment.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use hyper::Method;
use serde_json::json;
use smol::Timer;
use smol::channel;

use crate::bench;
use crate::bench::report;
use crate::runtime;

/// Bounds of a run.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Requests a second.
    pub rate: f64,
    /// Most requests.
    pub requests: u64,
    /// Longest time in which requests are due.
    pub time: Duration,
    /// Seed of arrivals and requests.
    pub seed: u64,
}

/// A request that is due.
struct Due {
    method: Method,
    path: String,
    key: Option<String>,
    body: String,
    deadline: Duration,
}

/// Runs the load and waits for all answers.
pub async fn run(
    mix: &bench::Mix,
    bounds: Bounds,
    traffic: &runtime::Traffic,
) -> Result<bench::Report, bench::BenchError> {
    let children = bench::Children::spawn(mix, traffic).await?;
    let callers: Vec<Arc<bench::Caller>> = children
        .entries
        .iter()
        .flat_map(|entry| children.tokens.iter().map(move |token| (entry, token)))
        .map(|(entry, token)| Arc::new(bench::Caller::new(*entry, token, traffic)))
        .collect();
    let (tx, rx) = channel::unbounded();
    let mut rng = Rng::with_seed(bounds.seed);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    for i in 0..bounds.requests {
        // Exponential times between arrivals: a Poisson process.
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / bounds.rate);
        if at > bounds.time {
            break;
        }
        let team = mix.draw_team(&mut rng);
        let entry = rng.usize(..children.entries.len());
        let due = draw(mix, i, bounds.seed, &mut rng)?;
        let caller = Arc::clone(&callers[entry * children.tokens.len() + team]);
        let (tx, delay) = (tx.clone(), mix.client_delay());
        let request = async move {
            let arrival = start + at;
            Timer::at(arrival + delay).await;
            let key = due.key.as_deref();
            let sent = caller.send(due.method, &due.path, key, due.body, arrival);
            let mut answered = sent.await;
            answered.first += delay;
            answered.whole += delay;
            let _ = tx.send((answered, due.deadline)).await;
        };
        Timer::at(start + at).await;
        traffic.spawn(request).detach();
    }
    drop(tx);
    let mut collector = report::Collector::new(bench::Report {
        mix: mix.name.clone(),
        seed: bounds.seed,
        rate: bounds.rate,
        ..bench::Report::default()
    })?;
    while let Ok((answered, deadline)) = rx.recv().await {
        collector.add(&answered, deadline);
    }
    Ok(collector.finish())
}

fn draw(mix: &bench::Mix, i: u64, seed: u64, rng: &mut Rng) -> Result<Due, bench::BenchError> {
    let request = mix
        .requests
        .get(mix.draw_request(rng))
        .ok_or("the mix has no requests")?;
    let deadline = request.deadline_ms.duration();
    Ok(match &request.kind {
        bench::Kind::Chat {
            profile,
            stream,
            max_tokens,
            ..
        } => {
            let messages = json!([{ "role": "user", "content": format!("{seed}.{i}") }]);
            let body = json!({
                "model": profile,
                "messages": messages,
                "stream": stream,
                "max_tokens": max_tokens,
            });
            Due {
                method: Method::POST,
                path: "/v1/chat/completions".into(),
                key: None,
                body: body.to_string(),
                deadline,
            }
        }
        bench::Kind::Call { path } => Due {
            method: Method::POST,
            path: format!("/v1/services/bookings/{path}"),
            key: Some(format!("bench-{seed}-{i}")),
            body: json!({ "item": i }).to_string(),
            deadline,
        },
        bench::Kind::LookUp { path } => Due {
            method: Method::GET,
            path: format!("/v1/services/bookings/{path}/{i}"),
            key: None,
            body: String::new(),
            deadline,
        },
    })
}
