//! Listings of which an item, or a page, is not as the protocol has it.

use hyper::StatusCode;

use crate::direct::scripted_store::list;

/// Guards against a listing that fails, or loses other records, as one item cannot be decoded.
#[test]
fn an_odd_item_costs_itself_only() {
    struct Case {
        name: &'static str,
        /// Item between the good ones.
        item: &'static [u8],
        /// Its key where it stays listed, so that its record does not count as removed.
        key: Option<&'static str>,
    }
    let kept = |name, item, key| Case {
        name,
        item,
        key: Some(key),
    };
    let left_out = |name, item| Case {
        name,
        item,
        key: None,
    };
    let cases = [
        kept("no base64", br#"{"Key":"b","Value":"?","Offset":1}"#, "b"),
        kept("null value", br#"{"Key":"b","Value":null,"Offset":1}"#, "b"),
        kept("no value", br#"{"Key":"b","Offset":1}"#, "b"),
        kept("number value", br#"{"Key":"b","Value":7,"Offset":1}"#, "b"),
        kept("list value", br#"{"Key":"b","Value":[],"Offset":1}"#, "b"),
        kept(
            "half of a surrogate in the value",
            br#"{"Key":"b","Value":"\ud800","Offset":1}"#,
            "b",
        ),
        kept(
            "key that is not UTF-8",
            b"{\"Key\":\"b\xff\",\"Value\":\"\",\"Offset\":1}",
            "b\u{fffd}",
        ),
        left_out("null key", br#"{"Key":null,"Value":"","Offset":1}"#),
        left_out("number key", br#"{"Key":7,"Value":"","Offset":1}"#),
        left_out("no key", br#"{"Value":"","Offset":1}"#),
        left_out("two keys", br#"{"Key":"b","Key":"c","Offset":1}"#),
        left_out(
            "half of a surrogate in the key",
            br#"{"Key":"b\udcff","Value":"","Offset":1}"#,
        ),
        left_out("no offset", br#"{"Key":"b","Value":""}"#),
        left_out("text for the offset", br#"{"Key":"b","Offset":"1"}"#),
        left_out("null", b"null"),
        left_out("number", b"7"),
        left_out("list", b"[]"),
    ];
    let mut failed = Vec::new();
    for case in &cases {
        let good = |key| format!(r#"{{"Key":"{key}","Value":"Z29vZA==","Offset":2}}"#);
        let items = [good("a").as_bytes(), case.item, good("z").as_bytes()].join(&b',');
        let body = [br#"{"Items":["#, &*items, br#"],"HasMore":false,"End":3}"#].concat();
        let listed = list(move |_| (StatusCode::OK, body.clone()));
        let listed = listed.unwrap_or_default().records;
        let listed: Vec<_> = listed
            .iter()
            .map(|(key, value)| (&**key, value.as_deref().unwrap_or_default()))
            .collect();
        let odd = case.key.map(|key| (key, b"".as_slice()));
        let good = |key| Some((key, b"good".as_slice()));
        let expected = [good("a"), odd, good("z")];
        if listed != expected.into_iter().flatten().collect::<Vec<_>>() {
            failed.push(case.name);
        }
    }
    assert_eq!(failed, [""; 0]);
}

/// Guards against a listing that does not end, or whose missing keys count as removed, as a
/// page does not lead on to the next one.
#[test]
fn a_listing_always_ends() {
    const ITEM: &str = r#"{"Key":"a","Value":"Z29vZA==","Offset":1}"#;
    struct Case {
        name: &'static str,
        /// Items of the first page, and of those after it. All say that more keys follow.
        pages: [&'static str; 2],
        keys: &'static [&'static str],
    }
    let case = |name, pages, keys| Case { name, pages, keys };
    let cases = [
        case("the same page", [ITEM, ITEM], &["a"]),
        case("an empty page", [ITEM, ""], &["a"]),
        case("an empty first page", ["", ITEM], &[]),
        case("no readable key", [ITEM, r#"{"Key":7},null"#], &["a"]),
        case(
            "a key that is not UTF-8",
            [ITEM, r#"{"Key":"b\ufffd","Offset":2}"#],
            &["a", "b\u{fffd}"],
        ),
        case(
            "keys that go back",
            [ITEM, r#"{"Key":"b","Offset":2},{"Key":"a","Offset":1}"#],
            &["a", "b"],
        ),
    ];
    for case in cases {
        let listed = list(move |after| {
            let items = case.pages[usize::from(after.is_some())];
            let body = format!(r#"{{"Items":[{items}],"HasMore":true,"End":3}}"#);
            (StatusCode::OK, body.into())
        });
        let listed = listed.unwrap_or_else(|| panic!("{}: no end", case.name));
        let keys: Vec<_> = listed.records.iter().map(|(key, _)| &**key).collect();
        assert_eq!(
            (keys, listed.is_whole),
            (case.keys.to_vec(), false),
            "{}",
            case.name
        );
    }
}

/// Guards against records that count as removed as the page that holds them is refused.
#[test]
fn a_refused_page_is_no_end() {
    struct Case {
        name: &'static str,
        status: StatusCode,
        /// Whether the first page is refused as well.
        is_first: bool,
        /// Number of records in the listing; `None` if it fails.
        records: Option<usize>,
    }
    let case = |name, status, is_first, records| Case {
        name,
        status,
        is_first,
        records,
    };
    let cases = [
        case("no topic", StatusCode::NOT_FOUND, true, Some(0)),
        case("no topic, later", StatusCode::NOT_FOUND, false, None),
        case("down", StatusCode::SERVICE_UNAVAILABLE, true, None),
        case("down, later", StatusCode::SERVICE_UNAVAILABLE, false, None),
        case(
            "too many, later",
            StatusCode::TOO_MANY_REQUESTS,
            false,
            None,
        ),
    ];
    for case in cases {
        let listed = list(move |after| {
            if case.is_first || after.is_some() {
                return (case.status, Vec::new());
            }
            let items = r#"[{"Key":"a","Value":"Z29vZA==","Offset":1}]"#;
            let body = format!(r#"{{"Items":{items},"HasMore":true,"End":3}}"#);
            (StatusCode::OK, body.into())
        });
        let records = listed.map(|listed| listed.records.len());
        assert_eq!(records, case.records, "{}", case.name);
    }
}
