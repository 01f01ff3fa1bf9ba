//! Requests of many entries to an endpoint that names a limit for all of them together.

use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

use quetzalworks::standin::{LogCommand, Outage};

use crate::direct::endpoint::{Behaviour, Endpoint, Received};
use crate::direct::load;
use crate::direct::site::{Entry, Site, is_ready};
use crate::testing::wait;

/// Entries at the start of a case, that of the site included.
const ENTRIES: usize = 4;
/// Leases of each of them, of 96.
const LEASES: u32 = 24;
/// Limit that the endpoint names, in requests per second.
const LIMIT: &str = "2.0";
/// Requests of entries that know the limit in any [`WINDOW`]: one and a half times what the
/// limit allows, and 5.
const MAX_IN_WINDOW: usize = 17;
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first answer with the limit from which the bound holds.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after the first answer with the limit from which an entry knows it.
const KNOWN: Duration = Duration::from_millis(500);
/// Time for which callers send requests.
const TRAFFIC: Duration = Duration::from_secs(11);

struct Case {
    name: &'static str,
    /// Happens 2 s after the traffic has begun; returns the entries that are excused, by their
    /// position.
    disturb: fn(&Site, &[Entry]) -> Vec<usize>,
}

/// Guards against entries that each take the limit of an endpoint for their own, or go on as
/// before, and against an endpoint with a limit that is left idle.
#[test]
fn many_entries_keep_to_the_limit_that_an_endpoint_names() {
    let cases = [
        Case {
            name: "all entries have requests",
            disturb: |_, _| Vec::new(),
        },
        Case {
            name: "entries are killed",
            disturb: |_, entries| {
                entries[..2].iter().for_each(|e| e.process.kill_unreaped());
                vec![0, 1]
            },
        },
        Case {
            name: "entries freeze and wake with requests waiting",
            disturb: |_, entries| {
                entries[..2].iter().for_each(|e| e.process.suspend());
                thread::sleep(Duration::from_secs(4));
                entries[..2].iter().for_each(|e| e.process.resume());
                vec![0, 1]
            },
        },
        Case {
            // Longer than a lease, and shorter than entries serve keys without the store.
            name: "the store is away",
            disturb: |site, _| {
                site.store.control(LogCommand::Outage(Outage::Refusing));
                thread::sleep(Duration::from_millis(3_500));
                site.store.control(LogCommand::Outage(Outage::Up));
                Vec::new()
            },
        },
        Case {
            name: "an entry starts and leaves",
            disturb: |site, _| {
                let late = Entry::spawn("edge-late", site.store.addr());
                wait::until("the late entry is ready", || is_ready(late.readiness));
                thread::sleep(Duration::from_secs(1));
                Vec::new()
            },
        },
    ];
    for case in &cases {
        check(case);
    }
}

fn check(case: &Case) {
    // Slow enough that the endpoint with the limit is preferred.
    let slow = Endpoint::spawn(
        "slow",
        &[],
        Behaviour::LateEvents(Duration::from_millis(100)),
    );
    let limited = Endpoint::spawn("limited", &[], Behaviour::Limited(LIMIT));
    let site = Site::spawn(&[("writer", &slow), ("writer", &limited)]);
    let entries = load::spawn_others(&site, ENTRIES - 1, LEASES);
    let excused = load::with_callers(&site, &entries, || {
        let begin = Instant::now();
        thread::sleep(Duration::from_secs(2));
        let excused = (case.disturb)(&site, &entries);
        thread::sleep(TRAFFIC.saturating_sub(begin.elapsed()));
        excused
    });
    let arrivals = known_arrivals(&limited.received(), &excused);
    let max = arrivals.iter().map(|from| {
        let within = |at: &&Instant| (*from..*from + WINDOW).contains(*at);
        arrivals.iter().filter(within).count()
    });
    let max = max.max().unwrap_or_default();
    assert!(
        max <= MAX_IN_WINDOW,
        "{}: {max} requests in {WINDOW:?}",
        case.name
    );
    // A quarter of what the limit allows in the time from which the bound holds.
    assert!(arrivals.len() >= 4, "{}: {}", case.name, arrivals.len());
}

/// Position of the entry that has sent the request.
fn entry_of(received: &Received) -> usize {
    let id = received.header("attempt-id").unwrap_or_default();
    let (entry, _) = id.split_once('-').unwrap();
    entry.parse().unwrap()
}

/// Returns when requests of entries that knew the limit arrived, from [`CONTACT`] after the
/// first answer on.
fn known_arrivals(received: &[Received], excused: &[usize]) -> Vec<Instant> {
    let Some(first) = received.first() else {
        return Vec::new();
    };
    let mut known = HashMap::new();
    let mut arrivals = Vec::new();
    for received in received {
        let entry = entry_of(received);
        let known_from = *known.entry(entry).or_insert(received.at + KNOWN);
        let counts = received.at >= known_from && received.at >= first.at + CONTACT;
        if counts && !excused.contains(&entry) {
            arrivals.push(received.at);
        }
    }
    arrivals
}

/// Guards against an entry that keeps to a limit which other entries know to be over.
#[test]
fn all_entries_use_an_endpoint_that_names_its_limit_no_longer() {
    let slow = Endpoint::spawn(
        "slow",
        &[],
        Behaviour::LateEvents(Duration::from_millis(100)),
    );
    // More than the entries can have under way before they know the limit.
    let script = vec![Behaviour::Limited(LIMIT); 24];
    let limited = Endpoint::spawn("limited", &script, Behaviour::Events("90"));
    let site = Site::spawn(&[("writer", &slow), ("writer", &limited)]);
    let entries = load::spawn_others(&site, ENTRIES - 1, LEASES);
    load::with_callers(&site, &entries, || {
        wait::until("all entries use the endpoint again", || {
            let received = limited.received();
            let mut counts = [0; ENTRIES];
            for received in received.iter().skip(script.len()) {
                counts[entry_of(received)] += 1;
            }
            counts.iter().all(|count| *count >= 50)
        });
    });
}
