//! Randomized soak test of real processes. A seed determines the faults, all
//! injected from outside the processes: signals, store outages, links that are
//! cut, reset or slow, and failing endpoints. The guarantees to callers and
//! endpoints are checked against what both sides observed.
//!
//! To run other seeds: `SOAK_SEEDS=100..150 cargo nextest run soak::`;
//! `SOAK_SEEDS=fresh:20` takes 20 seeds from the clock. From 1000 on, the store also comes back
//! from older copies. Each run prints its seed.

pub mod backend;
mod callers;
mod check;
mod fault;
mod plan;
mod site;
mod world;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::testing::http;

/// Maximum of concurrent soaks; each has up to 20 processes.
const MAX_PARALLEL_SOAKS: usize = 4;

/// A seed that failed in the past, kept as a regression test.
struct Regression {
    seed: u64,
    cause: &'static str,
}

const REGRESSIONS: &[Regression] = &[];

/// Seeds used unless `SOAK_SEEDS` is set.
const DEFAULT_SEEDS: std::ops::Range<u64> = 1..5;

/// Returns `count` consecutive seeds from the current time in seconds.
fn seeds_from_clock(count: u64) -> Vec<u64> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let first = now.as_ref().map_or(0, Duration::as_secs);
    (first..first + count).collect()
}

/// Returns the seeds that `SOAK_SEEDS` selects.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return DEFAULT_SEEDS.collect();
    };
    if let Some(count) = text.strip_prefix("fresh:") {
        return seeds_from_clock(count.parse().unwrap());
    }
    let (from, to) = text.split_once("..").unwrap();
    (from.parse().unwrap()..to.parse().unwrap()).collect()
}

/// Runs a soak per seed, [`MAX_PARALLEL_SOAKS`] at a time; returns the violations found.
fn run_seeds(seeds: &[u64]) -> Vec<String> {
    let violations = http::concurrently(MAX_PARALLEL_SOAKS, |offset| {
        let share = seeds.iter().skip(offset).step_by(MAX_PARALLEL_SOAKS);
        share.flat_map(|seed| world::run(*seed)).collect::<Vec<_>>()
    });
    violations.into_iter().flatten().collect()
}

/// Guards against violated guarantees under repeated and overlapping faults.
#[test]
fn guarantees_hold_under_random_faults() {
    let violations = run_seeds(&seeds());
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against violated guarantees while the store comes back from an older copy, among
/// other faults.
#[test]
fn guarantees_hold_while_the_store_comes_back_from_a_copy() {
    let first = plan::FIRST_RESTORING_SEED;
    let violations = run_seeds(&(first..first + 4).collect::<Vec<_>>());
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against regressions of faults that a seed once revealed.
#[test]
fn formerly_failing_seeds_pass() {
    let seeds: Vec<_> = REGRESSIONS
        .iter()
        .map(|regression| regression.seed)
        .collect();
    let violations = run_seeds(&seeds);
    let causes: Vec<_> = REGRESSIONS
        .iter()
        .map(|regression| regression.cause)
        .collect();
    assert!(
        violations.is_empty(),
        "{}: {causes:?}",
        violations.join("\n")
    );
}
