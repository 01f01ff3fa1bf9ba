//! I12: an accepted change is never reverted, even by concurrent operators.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use quetzalworks::catalog::{Body, Catalog, Object, Record};
use quetzalworks::ids::Offset;
use quetzalworks::platform::Stream;
use quetzalworks::standin::{LogCommand, Outage};
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::spec::{Spec, merge};
use crate::testing::{operator, wait};

const PROFILE: &str = "profiles/chat";
const IN_FORCE_TARGET: Duration = Duration::from_secs(9);
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// A fault of the log while operators make concurrent changes; cases run in order.
struct Case {
    name: &'static str,
    fault: LogCommand,
    duration: Duration,
}

/// Accepted revisions with the profile's deadline in each, in ms.
type Accepted = Mutex<BTreeMap<u64, u64>>;

/// Guards against an accepted change that is lost or overwritten by one based on
/// an older revision, and against entries with different configurations.
#[test]
fn accepted_changes_of_racing_operators_never_revert() {
    let lose = LogCommand::LoseAnswers {
        stream: Stream::Config,
        count: 4,
    };
    let cases = [
        Case {
            name: "no fault",
            fault: LogCommand::Outage(Outage::Up),
            duration: Duration::from_secs(1),
        },
        Case {
            name: "lost replies",
            fault: lose,
            duration: Duration::from_secs(2),
        },
        Case {
            name: "refusing log",
            fault: LogCommand::Outage(Outage::Refusing),
            duration: Duration::from_secs(3),
        },
        Case {
            name: "lost replies again",
            fault: lose,
            duration: Duration::from_secs(1),
        },
        Case {
            name: "unresponsive log",
            fault: LogCommand::Outage(Outage::Hanging),
            duration: Duration::from_secs(4),
        },
    ];
    let cluster = Cluster::start_spec(Spec {
        entries: 3,
        engines: 2,
        ..Spec::default()
    });
    let (stop, accepted) = (AtomicBool::new(false), Accepted::default());
    std::thread::scope(|scope| {
        for operator in 0..2 {
            let (cluster, stop, accepted) = (&cluster, &stop, &accepted);
            scope.spawn(move || change_repeatedly(cluster, operator, stop, accepted));
        }
        for entry in 0..3 {
            let (cluster, stop) = (&cluster, &stop);
            scope.spawn(move || check_revisions_grow(cluster, entry, stop));
        }
        for case in &cases {
            cluster.log.control(case.fault);
            std::thread::sleep(case.duration);
            cluster.log.control(LogCommand::Outage(Outage::Up));
            let before = accepted.lock().unwrap().len();
            wait::until(case.name, || accepted.lock().unwrap().len() > before + 2);
        }
        stop.store(true, Ordering::Relaxed);
    });
    check_final_state(&cluster, &accepted.into_inner().unwrap());
}

/// Changes the profile repeatedly, each time based on the revision just read.
fn change_repeatedly(cluster: &Cluster, operator: usize, stop: &AtomicBool, accepted: &Accepted) {
    let mut n = operator as u64;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(REQUEST_PAUSE);
        let Some((base, mut content)) = operator::get(cluster, operator, PROFILE) else {
            continue;
        };
        n += 2;
        let deadline = 10_000 + n;
        merge(&mut content, &json!({ "deadline_ms": deadline }));
        let Some(answer) = operator::put(cluster, operator, PROFILE, base, &content) else {
            continue;
        };
        if answer.status < 300 {
            let revision = answer.header("etag").unwrap().trim_matches('"').parse();
            let other = accepted.lock().unwrap().insert(revision.unwrap(), deadline);
            assert_eq!(other, None, "two changes accepted as one revision");
        } else {
            let number = answer.json()["error"]["number"].as_u64().unwrap();
            assert!([3002, 3003, 3004].contains(&number), "{}", answer.text());
        }
    }
}

/// Checks that an entry's revision of the profile never decreases.
fn check_revisions_grow(cluster: &Cluster, entry: usize, stop: &AtomicBool) {
    let mut last = 0;
    while !stop.load(Ordering::Relaxed) {
        if let Some((revision, _)) = operator::get(cluster, entry, PROFILE) {
            assert!(
                revision >= last,
                "entry {entry} went from {last} to {revision}"
            );
            last = revision;
        }
        std::thread::sleep(REQUEST_PAUSE);
    }
}

/// Checks that the log has all accepted changes under their revisions, and that
/// each entry reaches the state given by the log.
fn check_final_state(cluster: &Cluster, accepted: &BTreeMap<u64, u64>) {
    let records = cluster.log.records(Stream::Config);
    let mut catalog = Catalog::default();
    let mut history = BTreeMap::new();
    let id = PROFILE.parse().unwrap();
    for (record, offset) in records.iter().zip(0..) {
        let body: Option<Body> = serde_json::from_value(record.clone()).ok();
        catalog.apply(&Record {
            offset: Offset(offset),
            body,
        });
        if let Some((revision, Object::Profile(profile))) = catalog.get(&id) {
            history.insert(revision.0, profile.deadline_ms.0);
        }
    }
    for (revision, deadline) in accepted {
        assert_eq!(history.get(revision), Some(deadline), "revision {revision}");
    }
    let (last, deadline) = history.last_key_value().unwrap();
    let since = Instant::now();
    wait::until("all entries have the last change", || {
        (0..3).all(|entry| {
            operator::get(cluster, entry, PROFILE).is_some_and(|(revision, content)| {
                revision == *last && content["deadline_ms"] == *deadline
            })
        })
    });
    assert!(since.elapsed() < IN_FORCE_TARGET);
}
