//! Requests of many entries to an endpoint that is cold.

use std::thread;
use std::time::{Duration, Instant};

use quetzalworks::platform::endpoint_record;
use serde_json::json;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::load;
use crate::direct::site::{Entry, Site, is_ready};
use crate::direct::world::entry;
use crate::testing::wait;

/// Entries at the start of a case, that of the site included.
const ENTRIES: usize = 12;
/// Leases of each of them, of 96.
const LEASES: u32 = 8;
/// Time for which the endpoint is cold, and requests per second that it tolerates, as
/// stated by the configuration.
const COLD: Duration = Duration::from_secs(3);
const RATE: usize = 18;
/// Requests that may arrive in one second: 1.5 times the rate, and 5.
const MAX_IN_A_SECOND: usize = 32;
/// Time in which the entries learn of the endpoint.
const LEARNING: Duration = Duration::from_secs(1);

struct Case {
    name: &'static str,
    /// Happens right after the endpoint has reported.
    disturb: fn(&Site, &[Entry]),
    /// Requests that the endpoint gets at least while all entries know it.
    min_served: usize,
}

/// Guards against entries that together flood a cold endpoint, as each assumes to be one of
/// few, and against a cold endpoint that is left idle.
#[test]
fn many_entries_keep_to_the_limit_of_a_cold_endpoint() {
    let half = 2 * RATE / 2;
    let cases = [
        Case {
            name: "all entries have requests",
            disturb: |_, _| {},
            min_served: half,
        },
        Case {
            name: "entries are killed",
            disturb: |_, entries| entries[..4].iter().for_each(|e| e.process.kill_unreaped()),
            min_served: half / 2,
        },
        Case {
            name: "entries freeze and wake with requests waiting",
            disturb: |_, entries| {
                entries[..4].iter().for_each(|e| e.process.suspend());
                thread::sleep(LEARNING);
                entries[..4].iter().for_each(|e| e.process.resume());
            },
            min_served: half / 2,
        },
        Case {
            name: "entries start",
            disturb: |site, _| {
                for i in 0..2 {
                    let late = Entry::spawn(&format!("edge-late-{i}"), site.store.addr());
                    wait::until("the late entry is ready", || is_ready(late.readiness));
                }
            },
            min_served: half,
        },
    ];
    for case in &cases {
        check(case);
    }
}

fn check(case: &Case) {
    // Slow enough that the idle endpoint is preferred.
    let warm = Endpoint::spawn(
        "warm",
        &[],
        Behaviour::LateEvents(Duration::from_millis(100)),
    );
    let cold = Endpoint::spawn("cold", &[], Behaviour::Events("90"));
    let site = Site::spawn(&[("writer", &warm)]);
    let entries = load::spawn_others(&site, ENTRIES - 1, LEASES);
    let reported = load::with_callers(&site, &entries, || {
        thread::sleep(LEARNING);
        let mut value = entry("writer", "v1", 1);
        value["Address"] = json!(cold.addr);
        value["WarmupLeftMs"] = json!(COLD.as_millis());
        let reported = Instant::now();
        let value = value.to_string();
        site.store
            .put(endpoint_record::TOPIC, cold.id, Some(value.as_bytes()));
        (case.disturb)(&site, &entries);
        thread::sleep(COLD.saturating_sub(reported.elapsed()));
        reported
    });
    let arrivals: Vec<_> = cold
        .received()
        .iter()
        .map(|received| received.at.duration_since(reported))
        .filter(|at| *at < COLD)
        .collect();
    let max_in_a_second = arrivals
        .iter()
        .map(|from| {
            let within = |at: &&Duration| (*from..*from + Duration::from_secs(1)).contains(*at);
            arrivals.iter().filter(within).count()
        })
        .max();
    let served = arrivals.iter().filter(|at| **at >= LEARNING).count();
    assert!(
        max_in_a_second.unwrap_or_default() <= MAX_IN_A_SECOND,
        "{}: {max_in_a_second:?} requests in a second",
        case.name
    );
    assert!(served >= case.min_served, "{}: {served}", case.name);
}
