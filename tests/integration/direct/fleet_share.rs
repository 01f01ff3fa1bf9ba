//! Shares of entries in the limits that apply to all of them together.

use std::sync::Arc;
use std::time::Duration;

use quetzalworks::balance::{AnyFleetShare, ColdLimit, Query, choose};
use quetzalworks::direct::{Assignment, EndpointView, Event};
use quetzalworks::ids::Fingerprint;
use quetzalworks::runtime::Moment;
use quetzalworks::units::{Rate, Share};

use crate::direct::balance::{NOW, endpoint, query};
use crate::direct::world::TestWorld;

/// Guards against entries that use a share which the store has assigned to others since, and
/// against cold endpoints that idle because the store is away.
#[test]
fn a_share_shrinks_when_its_leases_expire() {
    struct Case {
        name: &'static str,
        assigned: Option<f64>,
        /// Time since the leases were confirmed.
        age_ms: Option<u64>,
        of_cold_rate: f64,
    }
    let case = |name, assigned, age_ms, of_cold_rate| Case {
        name,
        assigned,
        age_ms,
        of_cold_rate,
    };
    let cases = [
        case("nothing is assigned yet", None, None, 0.0),
        case("just confirmed", Some(0.25), Some(0), 0.25),
        case("confirmed within the lease", Some(0.25), Some(2_999), 0.25),
        case("expired", Some(0.25), Some(3_000), 0.125),
        case("expired long ago", Some(0.25), Some(600_000), 0.125),
        case("a newcomer without leases", Some(0.0), Some(0), 0.0),
    ];
    for case in cases {
        let unassigned = AnyFleetShare::default();
        let share = case.assigned.map_or(unassigned, |assigned| {
            unassigned.assign(Share::clamped(assigned))
        });
        let age = case.age_ms.map(Duration::from_millis);
        let of_cold_rate = share.of_cold_rate(age).get();
        assert!(
            (of_cold_rate - case.of_cold_rate).abs() < 1e-9,
            "{}: {of_cold_rate}",
            case.name
        );
    }
}

/// Guards against a share that counts from the answer of the store instead of the call, or
/// that traffic does not learn of.
#[test]
fn an_assignment_reaches_traffic_with_its_age() {
    let mut world = TestWorld::new();
    let call_started = world.now;
    world.now = world.now.saturating_add(Duration::from_secs(1));
    let leases = 24;
    world.tick(vec![Event::Assigned(Assignment {
        leases,
        call_started,
    })]);
    let share = |millis| {
        let at = call_started.saturating_add(Duration::from_millis(millis));
        world.snapshot.cold_rate_share(at).get()
    };
    // The settings of the test have 96 leases.
    assert!((share(2_900) - 0.25).abs() < 1e-9);
    assert!((share(3_100) - 0.125).abs() < 1e-9);
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
fn replay(leases: &[u32], idle_ms: u64, seed: u64) -> Vec<u64> {
    let domain = "north".parse().unwrap();
    let entries: Vec<_> = leases
        .iter()
        .enumerate()
        .map(|(i, leases)| {
            let view = EndpointView {
                cold_until: Moment::from_millis(NOW + 100_000),
                ..Arc::unwrap_or_clone(endpoint("cold", "north"))
            };
            let share = f64::from(*leases) / 192.0;
            let limit = ColdLimit {
                rate: Rate::clamped(RATE * share),
                entry: Fingerprint::fnv1a(&format!("edge-{seed}-{i}")),
            };
            ([Arc::new(view)], limit)
        })
        .collect();
    let mut arrivals = Vec::new();
    let begin = NOW + idle_ms;
    // The entries know the endpoint before the burst.
    let times = [NOW]
        .into_iter()
        .chain((begin..begin + BURST_MS).step_by(10));
    for at in times {
        for (endpoints, limit) in &entries {
            let query = Query {
                cold_limit: Some(*limit),
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
        let query = Query {
            cold_limit: Some(ColdLimit {
                rate: Rate::clamped(case.rate),
                entry: Fingerprint::fnv1a("edge-1"),
            }),
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
