//! A randomized soak of real processes. Faults come from a seed, from outside
//! the processes: signals, a store that misbehaves, links that are cut, reset
//! or slow, endpoints that fail. The promises to callers and endpoints are
//! checked from what both have seen.
//!
//! By hand: `SOAK_SEEDS=100..150 cargo nextest run soak::`; `SOAK_SEEDS=fresh:20`
//! draws seeds. Each run prints its seed.

pub mod backend;
mod callers;
mod check;
mod fault;
mod plan;
mod site;
mod world;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::testing::http;

/// Soaks that run at a time; each has up to six processes.
const PARALLEL: usize = 4;

/// A seed that once failed.
struct Regression {
    seed: u64,
    cause: &'static str,
}

const REGRESSIONS: &[Regression] = &[];

/// Seeds that each run of the tests plays.
const SHORT: std::ops::Range<u64> = 1..5;

fn fresh(count: u64) -> Vec<u64> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let first = now.as_ref().map_or(0, Duration::as_secs);
    (first..first + count).collect()
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return SHORT.collect();
    };
    if let Some(count) = text.strip_prefix("fresh:") {
        return fresh(count.parse().unwrap());
    }
    let (from, to) = text.split_once("..").unwrap();
    (from.parse().unwrap()..to.parse().unwrap()).collect()
}

fn play(seeds: &[u64]) -> Vec<String> {
    let failed = http::concurrently(PARALLEL, |place| {
        let own = seeds.iter().skip(place).step_by(PARALLEL);
        own.flat_map(|seed| world::run(*seed)).collect::<Vec<_>>()
    });
    failed.into_iter().flatten().collect()
}

/// Guards against broken promises under faults in series and at once.
#[test]
fn promises_hold_under_drawn_faults() {
    let failed = play(&seeds());
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Guards against the return of what a seed has found.
#[test]
fn seeds_that_once_failed_hold() {
    let seeds: Vec<_> = REGRESSIONS.iter().map(|known| known.seed).collect();
    let failed = play(&seeds);
    let causes: Vec<_> = REGRESSIONS.iter().map(|known| known.cause).collect();
    assert!(failed.is_empty(), "{}: {causes:?}", failed.join("\n"));
}
