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
            "key that is no text",
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
        let listed = listed.unwrap_or_default();
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
