//! Replays of many entries before an endpoint that names a limit, without a network.

use std::sync::Arc;
use std::time::Duration;

use quetzalworks::balance::{HeldLeases, Live, SharedRates};
use quetzalworks::ids::{Fingerprint, LeaseNumber};
use quetzalworks::runtime::Moment;
use quetzalworks::units::{Rate, Share};

use crate::direct::balance::{NOW, endpoint};

/// Time in which the bound holds: one and a half times what the limit allows, and 5 requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Guards against a sum that depends on the number of entries, on leases that change hands, or
/// on entries whose leases have expired while others hold them.
#[test]
fn the_sum_over_many_entries_keeps_to_a_named_limit() {
    struct Case {
        name: &'static str,
        entries: u32,
        leases: u32,
        limit: f64,
        /// Time between two changes in which all leases pass to other entries.
        moved_each_ms: Option<u64>,
        /// Every so many entries have expired leases, which others hold too.
        expired_each: Option<u32>,
        seeds: u64,
    }
    let case = |name, entries, leases, limit, seeds| Case {
        name,
        entries,
        leases,
        limit,
        moved_each_ms: None,
        expired_each: None,
        seeds,
    };
    let cases = [
        case("one entry", 1, 96, 1.2, 20),
        case("four entries", 4, 96, 1.2, 20),
        case("a limit of nearly nothing", 4, 96, 0.0, 20),
        case("a limit near the usual load", 8, 96, 30.0, 20),
        case("26 entries", 26, 192, 2.3, 10),
        case("more entries than leases", 360, 192, 1.2, 2),
        case("360 entries", 360, 960, 14.0, 2),
        Case {
            moved_each_ms: Some(1_500),
            ..case("leases that change hands all the time", 8, 96, 2.3, 20)
        },
        Case {
            expired_each: Some(3),
            ..case("a third of the entries without the store", 12, 96, 2.3, 20)
        },
        Case {
            moved_each_ms: Some(3_000),
            expired_each: Some(3),
            ..case("both", 12, 96, 1.2, 20)
        },
    ];
    for case in cases {
        for seed in 0..case.seeds {
            let mut rng = fastrand::Rng::with_seed(seed);
            let endpoint = endpoint(&format!("limited-{seed}"), "north");
            let lives: Vec<Arc<Live>> = (0..case.entries).map(|_| Arc::default()).collect();
            for live in &lives {
                live.name_limit(Some(Rate::clamped(case.limit)));
            }
            let name = |i| format!("edge-{seed}-{i}");
            let is_expired = |i: u32| case.expired_each.is_some_and(|each| i.is_multiple_of(each));
            let all: Vec<_> = (0..case.entries).collect();
            let able: Vec<_> = all.iter().copied().filter(|i| !is_expired(*i)).collect();
            let rates = |rng: &mut fastrand::Rng, holders: &[u32]| -> Vec<SharedRates> {
                let owners = deal(rng, case.leases, holders);
                let rates = |i| {
                    let usable = Share::clamped(if is_expired(i) { 0.5 } else { 1.0 });
                    let held = (0..).zip(&owners).filter(|(_, owner)| **owner == i);
                    let held = held.map(|(number, _)| LeaseNumber(number)).collect();
                    SharedRates {
                        cold: None,
                        leases: HeldLeases::new(held, case.leases, usable),
                        entry: Fingerprint::fnv1a(&name(i)),
                    }
                };
                (0..case.entries).map(rates).collect()
            };
            // Entries with expired leases keep those that the others have been dealt since.
            let old = rates(&mut rng, &all);
            let mut current = rates(&mut rng, &able);
            let mut sent = Vec::new();
            for at in (0..REPLAY_MS).step_by(20) {
                if case
                    .moved_each_ms
                    .is_some_and(|each| at.is_multiple_of(each))
                {
                    current = rates(&mut rng, &able);
                }
                for (i, live) in (0..).zip(&lives) {
                    let rates = if is_expired(i) { &old } else { &current };
                    let now = Moment::from_millis(NOW + at);
                    let rates = &rates[usize::try_from(i).unwrap()];
                    let id = &endpoint.record.id;
                    let delay = live.permit_delay(id, Moment::default(), rates, now);
                    if delay == Some(Duration::ZERO) {
                        drop(live.begin(Duration::ZERO, now));
                        sent.push(at);
                    }
                }
            }
            let window = u64::try_from(WINDOW.as_millis()).unwrap();
            let max = sent.iter().map(|from| {
                let within = |at: &&u64| (*from..from + window).contains(*at);
                sent.iter().filter(within).count()
            });
            let max = max.max().unwrap_or_default();
            #[allow(clippy::cast_precision_loss)]
            let is_kept = max as f64 <= 6.0 * case.limit + 5.0;
            assert!(is_kept, "{}, seed {seed}: {max}", case.name);
        }
    }
}

const REPLAY_MS: u64 = 20_000;

/// Deals leases to entries at random; returns the entry that holds each.
fn deal(rng: &mut fastrand::Rng, leases: u32, entries: &[u32]) -> Vec<u32> {
    let holder = |_| entries[rng.usize(0..entries.len())];
    (0..leases).map(holder).collect()
}
