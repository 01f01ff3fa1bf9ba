//! Generates open-loop load on a running deployment.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use hyper::Method;
use serde_json::json;
use smol::Timer;
use smol::channel;

use crate::bench;
use crate::bench::caller;
use crate::runtime;

/// Maximum number of retries of a request, each through the next entry.
const MAX_RETRIES: usize = 2;

/// Rate, limits and seed of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadOptions {
    /// Mean requests per second; arrivals are a Poisson process.
    pub rate: f64,
    /// Maximum number of requests.
    pub max_requests: u64,
    /// Time span in which requests are scheduled; their answers may come later.
    pub duration: Duration,
    /// Seed of arrivals and requests.
    pub seed: u64,
}

/// A request of the load, with its last answer.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time of the last answer's end since the start, without the delay back to the caller.
    pub end: Duration,
    /// Index of the team that sent it.
    pub team: usize,
    /// Index of its kind in the mix.
    pub kind: usize,
    /// Answer to the last attempt; its times include the delay in both directions.
    pub answer: caller::TimedAnswer,
    /// Entries whose answers broke off, each followed by a retry through the next entry.
    pub broken_at: Vec<usize>,
}

/// A request ready to be sent at its arrival time.
struct ScheduledRequest {
    request: caller::CallerRequest,
    retryable: bool,
}

/// Callers of all teams at all entries, in the order of the entries.
struct Callers {
    by_entry: Vec<caller::Caller>,
    entries: usize,
    /// Number of teams; the caller of a team is at `entry * teams + team`.
    teams: usize,
}

impl Callers {
    fn of(&self, entry: usize, team: usize) -> &caller::Caller {
        &self.by_entry[entry * self.teams + team]
    }

    /// Sends a request. A retry goes to the next entry, as a load balancer would send it.
    /// Returns the last answer and the entries whose answers broke off.
    async fn send(
        &self,
        scheduled: ScheduledRequest,
        mut entry: usize,
        team: usize,
        arrival: Instant,
    ) -> (caller::TimedAnswer, Vec<usize>) {
        let mut broken_at = Vec::new();
        loop {
            let sent = self
                .of(entry, team)
                .send_request(scheduled.request.clone(), arrival);
            let answer = sent.await;
            let broken = answer.outcome == caller::Outcome::Broken;
            if !broken || !scheduled.retryable || broken_at.len() >= MAX_RETRIES {
                return (answer, broken_at);
            }
            broken_at.push(entry);
            entry = (entry + 1) % self.entries;
        }
    }
}

/// Runs the load, waits for all answers and returns them in the order of their ends.
pub async fn run(
    deployment: &bench::Deployment,
    mix: &bench::Mix,
    policy: bench::Policy,
    options: LoadOptions,
    traffic: &runtime::Traffic,
) -> Result<Vec<Sample>, bench::BenchError> {
    let callers = Arc::new(callers(deployment, traffic));
    let (tx, rx) = channel::unbounded();
    let mut rng = Rng::with_seed(options.seed);
    // Separate generator, so that all policies see the same arrivals and requests.
    let mut versions = Rng::with_seed(options.seed.wrapping_add(1));
    let start = Instant::now();
    let mut at = Duration::ZERO;
    for i in 0..options.max_requests {
        // Exponential times between arrivals make a Poisson process.
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / options.rate);
        if at > options.duration {
            break;
        }
        let team = mix.draw_team(&mut rng);
        let entry = rng.usize(..callers.entries);
        let kind = mix.draw_request(&mut rng);
        let scheduled = build_request(
            mix,
            policy,
            kind,
            &format!("{}.{i}", options.seed),
            &mut versions,
        )?;
        let (callers, tx, delay) = (Arc::clone(&callers), tx.clone(), mix.client_delay());
        let request = async move {
            let arrival = start + at;
            Timer::at(arrival + delay).await;
            let (mut answer, broken_at) = callers.send(scheduled, entry, team, arrival).await;
            answer.first_token += delay;
            answer.total += delay;
            let sample = Sample {
                end: start.elapsed(),
                team,
                kind,
                answer,
                broken_at,
            };
            let _ = tx.send(sample).await;
        };
        Timer::at(start + at).await;
        traffic.spawn(request).detach();
    }
    drop(tx);
    let mut samples = Vec::new();
    while let Ok(sample) = rx.recv().await {
        samples.push(sample);
    }
    Ok(samples)
}

fn callers(deployment: &bench::Deployment, traffic: &runtime::Traffic) -> Callers {
    let entries = deployment.entries.iter();
    let callers = entries
        .flat_map(|entry| deployment.tokens.iter().map(move |token| (entry, token)))
        .map(|(entry, token)| caller::Caller::new(*entry, token, traffic));
    Callers {
        by_entry: callers.collect(),
        entries: deployment.entries.len(),
        teams: deployment.tokens.len(),
    }
}

/// Builds a request of a kind, with a name that is unique within the load.
fn build_request(
    mix: &bench::Mix,
    policy: bench::Policy,
    kind: usize,
    name: &str,
    versions: &mut Rng,
) -> Result<ScheduledRequest, bench::BenchError> {
    let request = mix.requests.get(kind).ok_or("the mix has no requests")?;
    let deadline = request.deadline_ms.0.to_string();
    let mut headers = vec![("x-quetzalworks-deadline-ms", deadline)];
    let (method, path, body) = match &request.kind {
        bench::RequestKind::Chat {
            profile,
            stream,
            max_tokens,
            task,
            ..
        } => {
            headers.extend(task.clone().map(|task| ("x-quetzalworks-task", task)));
            let body = json!({
                "model": policy.requested_profile(mix, profile, versions),
                "messages": [{ "role": "user", "content": name }],
                "stream": stream,
                "max_tokens": max_tokens,
            });
            let path = "/v1/chat/completions".to_owned();
            (Method::POST, path, body.to_string())
        }
        bench::RequestKind::Call { path } => {
            headers.push(("idempotency-key", format!("bench-{name}")));
            let path = format!("/v1/services/bookings/{path}");
            (Method::POST, path, json!({ "item": name }).to_string())
        }
        bench::RequestKind::LookUp { path } => {
            let path = format!("/v1/services/bookings/{path}/{name}");
            (Method::GET, path, String::new())
        }
    };
    Ok(ScheduledRequest {
        retryable: !matches!(request.kind, bench::RequestKind::Call { .. }),
        request: caller::CallerRequest {
            method,
            path,
            headers,
            body,
        },
    })
}
