//! The store client against the stand-in store.

use std::time::Duration;

use quetzalworks::ids::Offset;
use quetzalworks::platform::{Appended, Read, Store, with_key};
use quetzalworks::standin::StandinLog;

use crate::testing::{http, place};

const TOPIC: &str = "keyed.test";

/// Guards against a write that a paused process makes too late.
#[test]
fn an_append_under_a_condition_is_refused_once_the_end_has_moved() {
    smol::block_on(async {
        let log = StandinLog::bind(place::addr(), &http::traffic())
            .await
            .unwrap();
        let store = Store::new(log.addr(), http::traffic());
        let record = with_key("k", b"v").unwrap();
        let append = |at| store.append(TOPIC, Some(Offset(at)), std::slice::from_ref(&record));
        assert_eq!(append(0).await, Ok(Appended::At(Offset(0))));
        assert_eq!(append(0).await, Ok(Appended::Moved { end: Offset(1) }));
        assert_eq!(append(1).await, Ok(Appended::At(Offset(1))));
    });
}

/// Guards against keys that are lost when the history is dropped.
#[test]
fn the_newest_record_of_each_key_outlives_the_history() {
    smol::block_on(async {
        let log = StandinLog::bind(place::addr(), &http::traffic())
            .await
            .unwrap();
        let store = Store::new(log.addr(), http::traffic());
        for (key, value) in [
            ("a", Some("1")),
            ("b", Some("2")),
            ("a", Some("3")),
            ("b", None),
        ] {
            log.put(TOPIC, key, value.map(str::as_bytes));
        }
        log.retain_from(TOPIC, Offset(4));
        let read = store.read(TOPIC, Offset(1), Duration::ZERO).await;
        assert_eq!(
            read,
            Ok(Read::Expired {
                first_retained: Offset(4)
            })
        );
        let newest = store.newest(TOPIC, None).await.unwrap();
        let keys: Vec<_> = newest.records.iter().map(|record| &*record.key).collect();
        assert_eq!((keys, newest.end), (vec!["a"], Offset(4)));
        assert_eq!(newest.records[0].value.as_deref(), Some(b"3".as_slice()));
    });
}
