//! Listings of topics in which another writer has left records under names of its own.

use std::sync::Arc;

use hyper::Method;
use quetzalworks::direct::Listing;
use quetzalworks::platform::{StoreClient, endpoint_record, operator, rollout_status};
use quetzalworks::standin::StandinLog;

use crate::direct::endpoint::{Behaviour, Endpoint};
use crate::direct::scripted_store::{self, TOPIC};
use crate::direct::site::{PAGE, Site, is_ready, put_endpoint, put_odd};
use crate::testing::process::Process;
use crate::testing::{http, isolation, wait};

/// Name in the middle of those of the other writer, and one after them.
const GOOD: [&str; 2] = ["0-good", "s-1"];

/// Writes records of another writer to a topic: as many as fill a page, of which all names
/// begin with `name` or only the last one does.
fn put_page(store: &StandinLog, topic: &str, name: &[u8], is_whole_page: bool) {
    for i in 0..PAGE {
        // Sorts before the names of most cases, so that the odd one ends the page.
        let is_odd = is_whole_page || i + 1 == PAGE;
        let begin = if is_odd { name } else { b"!" };
        put_odd(store, topic, begin, i);
    }
}

/// Lists a store with what `put` writes to it, and with the good records. Returns the listing,
/// or `None` if it fails or does not end, and the keys in the store.
fn list(put: impl FnOnce(&StandinLog)) -> (Option<Listing>, Vec<Arc<str>>) {
    smol::block_on(async {
        let traffic = http::traffic();
        let log = StandinLog::bind(isolation::free_addr(), &traffic).await;
        let log = log.unwrap();
        put(&log);
        for key in GOOD {
            log.put(TOPIC, key, Some(b"good"));
        }
        let listing = scripted_store::newest(&StoreClient::new(log.addr(), traffic)).await;
        let written = log.newest(TOPIC).into_iter();
        (listing, written.map(|record| record.key).collect())
    })
}

/// Guards against a listing that fails, does not end or leaves out records as a name does not
/// come back from the query as it was.
#[test]
fn a_listing_leads_on_after_any_name() {
    struct Case {
        name: &'static str,
        key: String,
    }
    let case = |name, key: &str| Case {
        name,
        key: key.into(),
    };
    let cases = [
        case("plain", "0-"),
        case("ampersand", "&"),
        case("ampersand within", "0-&"),
        case("further parameter", "0-&a&After=~"),
        case("plus", "+"),
        case("plus within", "0-+"),
        case("number sign", "#"),
        case("number sign within", "0-#"),
        case("percent sign", "%"),
        case("malformed escape", "0-%zz"),
        case("escape of a later name", "0-%7e"),
        case("blank", " "),
        case("blank within", "0- "),
        case("equals sign", "0-="),
        case("question mark and slash", "0-?/"),
        case("quote", "\""),
        case("backslash", "0-\\"),
        case("brackets", "0-[<{"),
        case("line feed", "0-\n"),
        case("zero", "\0"),
        case("delete", "0-\u{7f}"),
        case("beyond ASCII", "0-ü本"),
        case("replacement character", "0-\u{fffd}"),
        case("longest", &format!("0-{}&", "a".repeat(249))),
    ];
    let mut failed = Vec::new();
    for case in cases {
        for is_whole_page in [true, false] {
            let (listing, written) =
                list(|log| put_page(log, TOPIC, case.key.as_bytes(), is_whole_page));
            let records = listing.map(|listing| listing.records.into_iter());
            let keys = records.map(|records| records.map(|(key, _)| key).collect());
            if keys != Some(written) {
                failed.push((case.name, is_whole_page));
            }
        }
    }
    assert_eq!(failed, []);
}

/// Guards against a listing that does not end, or skips other records, as the keys at the end
/// of a page are not UTF-8, so that they are listed otherwise than they are stored.
#[test]
fn a_listing_leads_on_after_keys_that_are_not_utf8() {
    struct Case {
        name: &'static str,
        key: &'static [u8],
        count: usize,
    }
    let case = |name, key, count| Case { name, key, count };
    let cases = [
        case("greatest byte, part of a page", b"0-\xff", PAGE - 1),
        case("greatest byte, a page", b"0-\xff", PAGE),
        case("greatest byte, three pages", b"0-\xff", 3 * PAGE),
        case("smallest byte, a page", b"0-\x80", PAGE),
        case("smallest byte, three pages", b"0-\x80", 3 * PAGE),
        case("at the begin, three pages", b"\xfe", 3 * PAGE),
        case("half of a character, three pages", b"0-\xe6\x9c", 3 * PAGE),
        case("surrogate, three pages", b"0-\xed\xa0\x80", 3 * PAGE),
    ];
    for case in cases {
        let put = |log: &StandinLog| (0..case.count).for_each(|i| put_odd(log, TOPIC, case.key, i));
        let (listing, _) = list(put);
        let listing = listing.unwrap_or_else(|| panic!("{}: no end", case.name));
        let records = listing.records.iter();
        let good = records.filter(|(key, _)| GOOD.contains(&&**key)).count();
        assert_eq!(
            (good, listing.is_whole),
            (GOOD.len(), true),
            "{}",
            case.name
        );
    }
}

/// Guards against entries that serve nothing, or no longer follow the store, as one name in
/// a topic keeps them from listing it, and against records that are left out without a line, or
/// with a line for each.
#[test]
fn an_odd_name_does_not_stop_the_others() {
    struct Case {
        name: &'static str,
        key: &'static [u8],
    }
    let case = |name, key| Case { name, key };
    let cases = [
        case("ampersand", b"&".as_slice()),
        case("plus", b"+"),
        case("number sign", b"#"),
        case("percent sign", b"%"),
        case("escape of a later name", b"0-%7e"),
        case("blank", b" "),
    ];
    for case in cases {
        let good = GOOD.map(|id| Endpoint::spawn(id, &[], Behaviour::Answer(200, "good")));
        let site = Site::spawn(&[("desk", &good[0]), ("desk", &good[1])]);
        for topic in [
            operator::TOPIC,
            endpoint_record::TOPIC,
            rollout_status::TOPIC,
        ] {
            put_page(&site.store, topic, case.key, true);
        }
        let started = site.start_entry("edge-north-2");
        wait::until(case.name, || is_ready(started.readiness));
        for id in GOOD {
            wait::until(case.name, || is_known(&started.process, id));
        }
        // Entries list the topics again once the store has come back from a copy.
        site.store.restore(&site.store.copy());
        let next = Endpoint::spawn("s-2", &[], Behaviour::Answer(200, "good"));
        put_endpoint(&site.store, "desk", &next, 1);
        let entries = [
            (&site.process, site.callers),
            (&started.process, started.callers),
        ];
        for (process, callers) in entries {
            wait::until(case.name, || is_known(process, next.id));
            wait::until(case.name, || {
                let answer = Site::call_at(callers, &Method::GET, "/open/a", "id-1", &[]);
                answer.is_ok_and(|answer| answer.status == 200)
            });
            for source in ["operator", "endpoints", "reports"] {
                let lines = left_out_lines(process, source);
                let name = format!("{}000", String::from_utf8_lossy(case.key));
                let is_named = lines.iter().any(|line| line.contains(&name));
                assert!(is_named, "{}, {source}: {lines:?}", case.name);
            }
        }
        // It has listed the records; the other entry has also read them as they were written.
        let lines = started.process.lines_with("records left out");
        assert!(lines.len() < PAGE / 10, "{}: {}", case.name, lines.len());
    }
}

/// Returns what an entry has logged of records of a topic that it leaves out.
fn left_out_lines(process: &Process, source: &str) -> Vec<String> {
    let mut lines = process.lines_with("records left out");
    let field = format!("\"source\":\"{source}\"");
    lines.retain(|line| line.contains(&field));
    lines
}

/// Returns whether an entry has learnt of an endpoint.
fn is_known(process: &Process, id: &str) -> bool {
    let lines = process.lines_with("endpoint appeared");
    let field = format!("\"endpoint\":\"{id}\"");
    lines.iter().any(|line| line.contains(&field))
}
