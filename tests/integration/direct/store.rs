//! The store client against the stand-in store, and the poll settings of topics.

use std::time::Duration;

use quetzalworks::direct::{PollSettings, Source};
use quetzalworks::ids::{Offset, Position, StoreEra};
use quetzalworks::platform::{AppendOutcome, PlatformError, ReadOutcome, StoreClient, with_key};
use quetzalworks::settings::Bounds;
use quetzalworks::standin::StandinLog;
use quetzalworks::units::Millis;

use crate::direct::world::{position, settings};
use crate::testing::{http, isolation};

const TOPIC: &str = "keyed.test";

/// Starts an empty store and returns it with a client.
async fn empty_store() -> (StandinLog, StoreClient) {
    let traffic = http::traffic();
    let log = StandinLog::bind(isolation::free_addr(), &traffic)
        .await
        .unwrap();
    let store = StoreClient::new(log.addr(), traffic);
    (log, store)
}

/// Guards against a late write by a process that was paused.
#[test]
fn a_conditional_append_is_refused_after_the_end_has_moved() {
    smol::block_on(async {
        let (_log, store) = empty_store().await;
        let record = with_key("k", b"v").unwrap();
        let append = |at| store.append(TOPIC, Some(position(at)), std::slice::from_ref(&record));
        assert_eq!(append(0).await, Ok(AppendOutcome::AppendedAt(Offset(0))));
        assert_eq!(
            append(0).await,
            Ok(AppendOutcome::EndMismatch { end: Offset(1) })
        );
        assert_eq!(append(1).await, Ok(AppendOutcome::AppendedAt(Offset(1))));
    });
}

/// Guards against losing keys when old records are no longer retained.
#[test]
fn the_newest_record_of_each_key_is_always_retained() {
    smol::block_on(async {
        let (log, store) = empty_store().await;
        for (key, value) in [
            ("a", Some("1")),
            ("b", Some("2")),
            ("a", Some("3")),
            ("b", None),
        ] {
            log.put(TOPIC, key, value.map(str::as_bytes));
        }
        log.retain_from(TOPIC, Offset(4));
        let read = store.read(TOPIC, position(1), Duration::ZERO).await;
        assert_eq!(
            read,
            Ok(ReadOutcome::Expired {
                first_retained: Offset(4)
            })
        );
        let newest = store.newest(TOPIC, None).await.unwrap();
        let keys: Vec<_> = newest.records.iter().map(|record| &*record.key).collect();
        assert_eq!((keys, newest.end), (vec!["a"], position(4)));
        assert_eq!(newest.records[0].value.as_ref(), b"3");
    });
}

/// Guards against refusing valid API keys between two reads when revoked keys must
/// expire soon, and against reading drains too late.
#[test]
fn topics_are_read_as_often_as_the_limits_require() {
    struct Case {
        name: &'static str,
        source: Source,
        revoke_ms: Option<u64>,
        drain_ms: u64,
        wait_ms: u64,
        pause_ms: u64,
    }
    let cases = [
        Case {
            name: "configuration, revoked keys accepted for 5 s at most",
            source: Source::Operator,
            revoke_ms: Some(5_000),
            drain_ms: 2_000,
            wait_ms: 1_250,
            pause_ms: 0,
        },
        Case {
            name: "configuration, revoked keys accepted for 1 s at most",
            source: Source::Operator,
            revoke_ms: Some(1_000),
            drain_ms: 2_000,
            wait_ms: 250,
            pause_ms: 0,
        },
        Case {
            name: "configuration, no limit on revoked keys",
            source: Source::Operator,
            revoke_ms: None,
            drain_ms: 2_000,
            wait_ms: 1_500,
            pause_ms: 0,
        },
        Case {
            name: "endpoints, drains within 2 s",
            source: Source::Endpoints,
            revoke_ms: None,
            drain_ms: 2_000,
            wait_ms: 1_000,
            pause_ms: 700,
        },
        Case {
            name: "endpoints, drains within 3 s",
            source: Source::Endpoints,
            revoke_ms: None,
            drain_ms: 3_000,
            wait_ms: 1_000,
            pause_ms: 1_050,
        },
        Case {
            name: "reports, where new records end the wait",
            source: Source::Reports,
            revoke_ms: Some(5_000),
            drain_ms: 2_000,
            wait_ms: 5_000,
            pause_ms: 0,
        },
    ];
    for case in cases {
        let bounds = Bounds {
            revoke: case.revoke_ms.map(Millis),
            drain: Millis(case.drain_ms),
            ..settings().bounds
        };
        let poll_settings = PollSettings::new(case.source, &bounds);
        let found = (
            poll_settings.wait.as_millis(),
            poll_settings.pause.as_millis(),
        );
        let expected = (u128::from(case.wait_ms), u128::from(case.pause_ms));
        assert_eq!(found, expected, "{}", case.name);
    }
}

/// Guards against a read or a write at an offset that the store has given out again since.
#[test]
fn a_position_of_an_earlier_era_is_refused() {
    struct Case {
        name: &'static str,
        /// Records written after the store has come back from a copy with one record.
        again: u64,
        /// Position of a reader who has read three records before.
        era: u64,
        is_read: bool,
        is_appended: bool,
    }
    let case = |name, again, era| Case {
        name,
        again,
        era,
        is_read: era == 1,
        is_appended: era == 1 && again == 2,
    };
    let cases = [
        case("not given out again", 0, 0),
        case("ends there again", 2, 0),
        case("passed", 5, 0),
        case("ends there, of this era", 2, 1),
        case("passed, of this era", 5, 1),
    ];
    for case in cases {
        smol::block_on(async {
            let (log, store) = empty_store().await;
            let write = || log.put(TOPIC, "k", Some(b"v"));
            write();
            let copy = log.copy();
            write();
            write();
            let read = store.read(TOPIC, position(0), Duration::ZERO).await;
            assert!(matches!(read, Ok(ReadOutcome::Records(read)) if read.end == Offset(3)));
            log.restore(&copy);
            (0..case.again).for_each(|_| write());
            let at = Position {
                era: StoreEra(case.era),
                offset: Offset(3),
            };
            let read = store.read(TOPIC, at, Duration::ZERO).await;
            let is_restored = read == Err(PlatformError::Restored);
            assert_eq!(!is_restored, case.is_read, "{}: {read:?}", case.name);
            let record = with_key("k", b"w").unwrap();
            let append = store.append(TOPIC, Some(at), &[record]).await;
            let is_appended = matches!(append, Ok(AppendOutcome::AppendedAt(_)));
            assert_eq!(is_appended, case.is_appended, "{}: {append:?}", case.name);
        });
    }
}
