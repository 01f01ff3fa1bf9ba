//! Records that another writer has left among those of the endpoints.

use std::thread;
use std::time::Duration;

use hyper::Method;
use quetzalworks::platform::endpoint_record;
use serde_json::json;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::site::{Site, put_endpoint, put_record};
use crate::direct::world::entry;
use crate::testing::wait;

/// Guards against a process that ends, or no longer follows the endpoints, because of one
/// record that no endpoint would write.
#[test]
fn an_odd_record_does_not_stop_the_others() {
    struct Case {
        name: &'static str,
        value: String,
    }
    let good = entry("desk", "v1", 3).to_string();
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let with = |field: &str, value: &str| {
        let mut record = entry("desk", "v1", 3);
        record[field] = json!("?");
        record.to_string().replace("\"?\"", value)
    };
    let case = |name, value| Case { name, value };
    let cases = [
        case("nested", nested(100_000)),
        case(
            "nested in an unknown field",
            with("Other", &nested(100_000)),
        ),
        case("nested in a known field", with("Service", &nested(100_000))),
        case("nested objects", "{\"a\":".repeat(100_000)),
        case(
            "number too large for a float",
            with("WarmupLeftMs", "1e999"),
        ),
        case("largest float", with("WarmupLeftMs", "1.7e308")),
        case("negative time", with("WarmupLeftMs", "-1e308")),
        case(
            "sequence too large",
            with("Sequence", "99999999999999999999999"),
        ),
        case("sequence as a float", with("Sequence", "1e30")),
        case("largest sequence", with("Sequence", "18446744073709551615")),
        case("largest start", with("born", "18446744073709551615")),
        case("slots too large", with("Slots", "4294967296")),
        case("all slots", with("Slots", "4294967295")),
        case("port out of range", with("Address", "\"127.0.0.1:70000\"")),
        case("port zero", with("Address", "\"127.0.0.1:0\"")),
        case(
            "long address",
            with("Address", &format!("\"{}\"", "1".repeat(100_000))),
        ),
        case("truncated", good[..good.len() / 2].to_owned()),
        case("no text", "\u{0}\u{1}".into()),
    ];
    let first = Endpoint::spawn("first", &[], Behaviour::Answer(200, "good"));
    let site = Site::spawn(&[("desk", &first)]);
    for (i, case) in cases.iter().enumerate() {
        let key = format!("odd-{i}");
        let value = Some(case.value.as_bytes());
        site.store.put(endpoint_record::TOPIC, &key, value);
        // The same content in place of a record that is known.
        site.store.put(endpoint_record::TOPIC, "first", value);
        put_endpoint(&site.store, "desk", &first, 10 + i as u64);
        wait::until(case.name, || {
            site.call(&Method::GET, "/look/a", "id-1")
                .is_ok_and(|answer| answer.status == 200)
        });
    }
    // A process that starts lists all of them.
    let (_other, callers) = site.spawn_entry();
    let next = Endpoint::spawn("next", &[], Behaviour::Answer(200, "good"));
    put_endpoint(&site.store, "desk", &next, 1);
    put_record(&site.store, "desk", "first", first.addr, "draining", 100);
    let headers = [("key", "key-red")];
    for callers in [site.callers, callers] {
        let before = next.received().len();
        wait::until("the new endpoint is used", || {
            let answer = Site::call_at(callers, &Method::GET, "/look/a", "id-2", &headers);
            answer.is_ok() && next.received().len() > before
        });
    }
}

/// Guards against a writer whose records have no readable keys, each of which costs a read.
#[test]
fn records_without_a_readable_key_do_not_hasten_reads() {
    let endpoint = Endpoint::spawn("first", &[], Behaviour::Answer(200, "good"));
    let site = Site::spawn(&[("desk", &endpoint)]);
    let before = site.store.calls("read_endpoints");
    for i in 0..300_u16 {
        let key = [b"\xff".as_slice(), &i.to_be_bytes()].concat();
        site.store.put(endpoint_record::TOPIC, key, Some(b"odd"));
        thread::sleep(Duration::from_millis(10));
    }
    // Reads of news pause for 0.7 s.
    let reads = site.store.calls("read_endpoints") - before;
    assert!(reads < 100, "{reads} reads in the time of 300 records");
}
