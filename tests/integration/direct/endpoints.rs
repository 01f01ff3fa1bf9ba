//! The table of endpoints after drains, lapsed records, restarts and malformed records.

use std::time::Duration;

use quetzalworks::direct::{EndpointChange, PollSettings, Source};
use serde_json::{Value, json};

use crate::direct::world::{TestWorld, entry, record, settings};

/// One step of a case.
enum Step {
    /// Endpoint records by id; `None` deletes the record.
    Records(Vec<(&'static str, Option<Value>)>),
    StoreFails,
    Advance(u64),
}

/// Endpoints known and warm at the start of a test, with their versions.
const KNOWN: [(&str, &str); 4] = [("a", "v1"), ("b", "v1"), ("c", "v1"), ("d", "v1")];

fn changed(name: &str, value: &Value) -> Value {
    let mut record = entry("writer", "v1", 2);
    record[name] = value.clone();
    record
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
    usable: &'static [&'static str],
}

fn drained() -> Step {
    let draining = changed("State", &json!("draining"));
    Step::Records(vec![("a", Some(draining))])
}

fn cases() -> Vec<Case> {
    use Step::{Advance, Records, StoreFails};
    vec![
        Case {
            name: "a draining endpoint gets no more requests",
            steps: vec![drained()],
            usable: &["b", "c", "d"],
        },
        Case {
            name: "an endpoint is removed with its record",
            steps: vec![Records(vec![("a", None)])],
            usable: &["b", "c", "d"],
        },
        Case {
            name: "an endpoint whose record lapsed in an outage is retained",
            steps: vec![
                StoreFails,
                Advance(3_000),
                Records(vec![("a", None)]),
                Advance(2_000),
            ],
            usable: &["a", "b", "c", "d"],
        },
        Case {
            name: "an endpoint that does not report after an outage is removed",
            steps: vec![
                StoreFails,
                Advance(3_000),
                Records(vec![("a", None)]),
                Advance(2_300),
            ],
            usable: &["b", "c", "d"],
        },
        Case {
            name: "an endpoint that reports after an outage stays",
            steps: vec![
                StoreFails,
                Advance(3_000),
                Records(vec![("a", None)]),
                Advance(1_000),
                Records(vec![("a", Some(entry("writer", "v1", 3)))]),
                Advance(5_000),
            ],
            usable: &["a", "b", "c", "d"],
        },
        Case {
            name: "a removal long after an outage applies at once",
            steps: vec![
                StoreFails,
                Advance(3_000),
                Records(vec![]),
                Advance(3_000),
                Records(vec![("a", None)]),
            ],
            usable: &["b", "c", "d"],
        },
        Case {
            name: "a drain read before an outage applies after it",
            steps: vec![
                drained(),
                StoreFails,
                Advance(1_000),
                Records(vec![("a", None)]),
            ],
            usable: &["b", "c", "d"],
        },
        Case {
            name: "many removals at once are treated as an unnoticed outage",
            steps: vec![Records(vec![("a", None), ("b", None)]), Advance(800)],
            usable: &["a", "b", "c", "d"],
        },
        Case {
            name: "endpoints retained so are removed within the drain limit",
            steps: vec![Records(vec![("a", None), ("b", None)]), Advance(1_000)],
            usable: &["c", "d"],
        },
        Case {
            name: "a report older than the drain is ignored",
            steps: vec![
                drained(),
                Records(vec![("a", Some(entry("writer", "v1", 1)))]),
            ],
            usable: &["b", "c", "d"],
        },
        Case {
            name: "a new incarnation restarts the sequence numbers",
            steps: vec![
                drained(),
                Records(vec![(
                    "a",
                    Some({
                        let mut restarted = entry("writer", "v1", 0);
                        restarted["born"] = json!(2_000);
                        restarted
                    }),
                )]),
            ],
            usable: &["a", "b", "c", "d"],
        },
    ]
}

/// Guards against requests to endpoints that have left, and against removing
/// endpoints whose record only lapsed during an outage of the store.
#[test]
fn endpoints_follow_their_records() {
    for case in cases() {
        let mut world = TestWorld::new();
        world.writers(&KNOWN);
        world.advance(5_000);
        for step in case.steps {
            match step {
                Step::StoreFails => world.store_fails(),
                Step::Advance(millis) => world.advance(millis),
                Step::Records(records) => {
                    let changes = records.into_iter().map(|(id, value)| match value {
                        Some(value) => EndpointChange::Seen(record(id, &value)),
                        None => EndpointChange::Removed(id.parse().unwrap()),
                    });
                    world.endpoints(false, changes.collect());
                }
            }
        }
        assert_eq!(world.usable("writer"), case.usable, "{}", case.name);
    }
}

/// Guards against requests to endpoints that left together after the drain limit
/// has passed: the pause between reads and the retention add up.
#[test]
fn endpoints_that_leave_together_get_nothing_after_the_drain_limit() {
    /// Allowance for the read itself and the transit of a request.
    const TRANSIT_TIME: Duration = Duration::from_millis(200);
    let mut world = TestWorld::new();
    world.writers(&KNOWN);
    world.advance(60_000);
    let gone = |id: &str| EndpointChange::Removed(id.parse().unwrap());
    world.endpoints(false, vec![gone("a"), gone("b")]);
    let mut retained = Duration::ZERO;
    while world.usable("writer").len() > 2 {
        world.advance(100);
        retained += Duration::from_millis(100);
    }
    let bounds = settings().bounds;
    let pause = PollSettings::new(Source::Endpoints, &bounds).pause;
    assert!(
        pause + retained + TRANSIT_TIME <= bounds.drain.duration(),
        "read after {pause:?}, retained for {retained:?}"
    );
}

/// Guards against removing endpoints that a complete listing still contains, even
/// with a malformed record, and against keeping those that it lacks.
#[test]
fn a_listing_replaces_the_known_endpoints() {
    let mut world = TestWorld::new();
    world.writers(&KNOWN);
    let listing = vec![
        EndpointChange::Seen(record("a", &entry("writer", "v1", 1))),
        EndpointChange::Unusable("b".parse().unwrap()),
        EndpointChange::Seen(record("d", &entry("writer", "v1", 1))),
    ];
    world.endpoints(true, listing);
    assert_eq!(world.usable("writer"), ["a", "b", "d"]);
}

/// Guards against full load on endpoints that start while there is traffic.
#[test]
fn endpoints_that_start_during_traffic_are_cold() {
    struct Case {
        name: &'static str,
        id: &'static str,
        entry: Value,
        cold_ms: u64,
    }
    let cases = [
        Case {
            name: "a known endpoint that reports to be cold again",
            id: "a",
            entry: changed("WarmupLeftMs", &json!(1_500)),
            cold_ms: 1_500,
        },
        Case {
            name: "a new endpoint that reports to be warm",
            id: "new",
            entry: entry("writer", "v1", 1),
            cold_ms: 3_000,
        },
        Case {
            name: "a restart under the same id",
            id: "a",
            entry: changed("born", &json!(2_000)),
            cold_ms: 3_000,
        },
        Case {
            name: "a further report of a warm endpoint",
            id: "a",
            entry: entry("writer", "v1", 2),
            cold_ms: 0,
        },
    ];
    for case in cases {
        let mut world = TestWorld::new();
        world.writers(&[("a", "v1")]);
        world.advance(1_000);
        let seen = EndpointChange::Seen(record(case.id, &case.entry));
        world.endpoints(false, vec![seen]);
        let writer = &world.snapshot.services[&"writer".parse().unwrap()];
        let mut endpoints = writer.endpoints.iter();
        let view = endpoints
            .find(|endpoint| endpoint.record.id.as_str() == case.id)
            .unwrap();
        let cold = view.cold_until.saturating_since(world.now).as_millis();
        assert_eq!(cold, u128::from(case.cold_ms), "{}", case.name);
    }
}
