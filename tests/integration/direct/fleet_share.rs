//! Shares of entries in the limits that apply to all of them together.

use std::sync::Arc;
use std::time::Duration;

use quetzalworks::balance::{AnyFleetShare, Query, SharedRates, choose};
use quetzalworks::direct::{Assignment, EndpointView, Event};
use quetzalworks::ids::{EndpointId, Fingerprint, LeaseNumber};
use quetzalworks::runtime::Moment;
use quetzalworks::units::Rate;

use crate::direct::balance::{NOW, alone, endpoint, leases, query};
use crate::direct::world::TestWorld;

/// Leases in the tests.
const LEASES: u32 = 96;

fn numbers(numbers: impl IntoIterator<Item = u32>) -> Arc<[LeaseNumber]> {
    numbers.into_iter().map(LeaseNumber).collect()
}

/// Guards against entries that use a share which the store has assigned to others since, and
/// against endpoints with a rate that idle because the store is away.
#[test]
fn a_part_of_a_rate_shrinks_when_its_leases_expire() {
    struct Case {
        name: &'static str,
        /// Number of leases held.
        assigned: Option<u32>,
        /// Time since the leases were confirmed.
        age_ms: Option<u64>,
        /// Part of the rate at all endpoints of the test together.
        part: f64,
    }
    let case = |name, assigned, age_ms, part| Case {
        name,
        assigned,
        age_ms,
        part,
    };
    let cases = [
        case("nothing is assigned yet", None, None, 0.0),
        case("just confirmed", Some(96), Some(0), 1.0),
        case("confirmed within the lease", Some(96), Some(2_999), 1.0),
        case("expired", Some(96), Some(3_000), 0.5),
        case("expired long ago", Some(96), Some(600_000), 0.5),
        case("a newcomer without leases", Some(0), Some(0), 0.0),
    ];
    for case in cases {
        let unassigned = AnyFleetShare::default();
        let share = match case.assigned {
            Some(count) => unassigned.assign(numbers(0..count), LEASES),
            None => unassigned,
        };
        let leases = share.leases(case.age_ms.map(Duration::from_millis));
        for endpoint in endpoints(20) {
            let part = leases.part(Rate::clamped(1.0), &endpoint).get();
            assert!((part - case.part).abs() < 1e-9, "{}: {part}", case.name);
        }
    }
}

fn endpoints(count: u32) -> impl Iterator<Item = EndpointId> {
    (0..count).map(|i| format!("endpoint-{i}").parse().unwrap())
}

/// Guards against parts that add up to more or less than the rate, against one that is too
/// small to be used, and against entries that get all or none of it at all endpoints.
#[test]
fn the_parts_of_all_entries_add_up_to_the_rate() {
    struct Case {
        entries: u32,
        leases: u32,
        rate: f64,
        /// Most entries with a part of the rate at one endpoint.
        most: usize,
    }
    let case = |entries, leases, rate, most| Case {
        entries,
        leases,
        rate,
        most,
    };
    let cases = [
        case(1, 96, 1.2, 1),
        case(4, 96, 1.2, 2),
        case(4, 96, 14.0, 4),
        case(26, 192, 0.1, 2),
        case(26, 192, 14.0, 9),
        case(360, 192, 1.2, 2),
        case(360, 960, 14.0, 9),
        case(360, 960, 1_000.0, 64),
    ];
    for case in cases {
        let name = format!("{} entries, {} leases", case.entries, case.leases);
        let holders: Vec<_> = (0..case.entries)
            .map(|i| {
                let held = (0..case.leases).filter(|number| number % case.entries == i);
                leases(held, case.leases)
            })
            .collect();
        let mut total = vec![0.0; holders.len()];
        for endpoint in endpoints(100) {
            let rate = Rate::clamped(case.rate);
            let parts: Vec<_> = holders
                .iter()
                .map(|leases| leases.part(rate, &endpoint).get())
                .collect();
            let sum: f64 = parts.iter().sum();
            assert!((sum - case.rate).abs() < 1e-6, "{name}: {sum}");
            let used = parts.iter().filter(|part| **part > 0.0).count();
            assert!(used <= case.most, "{name}: {used}");
            let firsts = holders.iter().filter(|leases| leases.is_first(&endpoint));
            assert_eq!(firsts.count(), 1, "{name}");
            for (total, part) in total.iter_mut().zip(&parts) {
                *total += part;
            }
        }
        // Over many endpoints, no entry of few has less than half of an equal part.
        let equal = 100.0 * case.rate / f64::from(case.entries);
        let least = total.iter().copied().fold(f64::INFINITY, f64::min);
        assert!(case.entries > 4 || least >= 0.5 * equal, "{name}: {least}");
    }
}

/// Guards against a share that counts from the answer of the store instead of the call, or
/// that traffic does not learn of.
#[test]
fn an_assignment_reaches_traffic_with_its_age() {
    let mut world = TestWorld::new();
    let call_started = world.now;
    world.now = world.now.saturating_add(Duration::from_secs(1));
    world.tick(vec![Event::Assigned(Assignment {
        leases: numbers(0..24),
        call_started,
    })]);
    // Of many endpoints, as the part at one depends on the draw.
    let share = |millis| {
        let at = call_started.saturating_add(Duration::from_millis(millis));
        let leases = world.snapshot.leases(at);
        let parts = endpoints(10_000).map(|id| leases.part(Rate::clamped(1.0), &id).get());
        parts.sum::<f64>() / 10_000.0
    };
    // The settings of the test have 96 leases.
    assert!((share(2_900) - 0.25).abs() < 0.02, "{}", share(2_900));
    assert!((share(3_100) - 0.125).abs() < 0.01, "{}", share(3_100));
    assert!((world.snapshot.share.of_connections().get() - 0.25).abs() < 1e-9);
}

/// Requests per second that the cold endpoint of the replay tolerates, and the maximum over
/// all entries: 1.5 times the rate, and 5.
const RATE: f64 = 14.0;
const MAX_IN_A_SECOND: usize = 26;
/// Length of the replayed burst.
const BURST_MS: u64 = 3_000;

/// Guards against a burst in which all entries spend what they have saved while they were
/// idle, and against permits that nobody can use.
#[test]
fn entries_with_shares_keep_to_the_rate_of_a_cold_endpoint() {
    struct Case {
        name: &'static str,
        /// Leases of each entry, of 192.
        leases: Vec<u32>,
        /// Time before the burst in which no entry has a request.
        idle_ms: u64,
    }
    let cases = [
        Case {
            name: "26 entries",
            leases: [vec![7; 16], vec![8; 10]].concat(),
            idle_ms: 0,
        },
        Case {
            name: "26 entries, idle before the burst",
            leases: [vec![7; 16], vec![8; 10]].concat(),
            idle_ms: 20_000,
        },
        Case {
            name: "32 entries, 6 of them without leases",
            leases: [vec![7; 16], vec![8; 10], vec![0; 6]].concat(),
            idle_ms: 5_000,
        },
        Case {
            name: "4 entries",
            leases: vec![48; 4],
            idle_ms: 5_000,
        },
        Case {
            name: "1 entry",
            leases: vec![192],
            idle_ms: 5_000,
        },
    ];
    for case in cases {
        for seed in 0..50_u64 {
            let arrivals = replay(&case.leases, case.idle_ms, seed);
            let max = (0..BURST_MS).step_by(10).map(|from| {
                let within = |at: &&u64| (from..from + 1_000).contains(*at);
                arrivals.iter().filter(within).count()
            });
            let max = max.max().unwrap_or_default();
            assert!(max <= MAX_IN_A_SECOND, "{}, {seed}: {max}", case.name);
            // 14 per second for 3 s are 42.
            let total = arrivals.len();
            assert!(total >= 30, "{}, {seed}: {total}", case.name);
        }
    }
}

/// Returns the times at which the requests of a burst reach a cold endpoint, in milliseconds
/// since its begin. Each entry has requests all the time then.
fn replay(counts: &[u32], idle_ms: u64, seed: u64) -> Vec<u64> {
    let domain = "north".parse().unwrap();
    let mut next = 0;
    let entries: Vec<_> = counts
        .iter()
        .enumerate()
        .map(|(i, count)| {
            let view = EndpointView {
                cold_until: Moment::from_millis(NOW + 100_000),
                ..Arc::unwrap_or_clone(endpoint(&format!("cold-{seed}"), "north"))
            };
            let rates = SharedRates {
                cold: Some(Rate::clamped(RATE)),
                leases: leases(next..next + count, 192),
                entry: Fingerprint::fnv1a(&format!("edge-{seed}-{i}")),
            };
            next += count;
            ([Arc::new(view)], rates)
        })
        .collect();
    let mut arrivals = Vec::new();
    let begin = NOW + idle_ms;
    // The entries know the endpoint before the burst.
    let times = [NOW]
        .into_iter()
        .chain((begin..begin + BURST_MS).step_by(10));
    for at in times {
        for (endpoints, rates) in &entries {
            let query = Query {
                rates,
                ..query(&domain, None, at)
            };
            if let Some(choice) = choose(endpoints, &query)
                && at >= begin
            {
                let now = Moment::from_millis(at);
                drop(choice.endpoint.live.begin(Duration::ZERO, now));
                arrivals.push(at - begin);
            }
        }
    }
    arrivals
}

/// Guards against a request that is refused while the only endpoint is cold and idle, and
/// against one that waits longer than its objective allows.
#[test]
fn a_request_waits_for_the_next_permit_of_a_cold_endpoint() {
    struct Case {
        name: &'static str,
        rate: f64,
        max_delay_ms: u64,
        /// Requests at once that are sent, with or without a delay.
        sent: usize,
    }
    let case = |name, rate, max_delay_ms, sent| Case {
        name,
        rate,
        max_delay_ms,
        sent,
    };
    let cases = [
        case("no delay is accepted", 10.0, 0, 1),
        case("the next three permits are soon enough", 10.0, 300, 4),
        case("the next permit comes too late", 0.1, 300, 0),
        case("the entry has no share", 0.0, 300, 0),
    ];
    let domain = "north".parse().unwrap();
    for case in cases {
        let cold = EndpointView {
            cold_until: Moment::from_millis(NOW + 100_000),
            ..Arc::unwrap_or_clone(endpoint("cold", "north"))
        };
        let endpoints = [Arc::new(cold)];
        let rates = SharedRates {
            entry: Fingerprint::fnv1a("edge-1"),
            ..alone(case.rate)
        };
        let query = Query {
            rates: &rates,
            max_delay: Duration::from_millis(case.max_delay_ms),
            ..query(&domain, None, NOW)
        };
        let choices = std::iter::from_fn(|| {
            let choice = choose(&endpoints, &query)?;
            drop(choice.endpoint.live.begin(Duration::ZERO, query.now));
            Some(choice.delay)
        });
        let delays: Vec<_> = choices.take(100).collect();
        assert_eq!(delays.len(), case.sent, "{}: {delays:?}", case.name);
        assert!(delays.is_sorted(), "{}: {delays:?}", case.name);
        assert!(delays.iter().all(|delay| *delay <= query.max_delay));
    }
}
