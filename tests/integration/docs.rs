//! Tests that the documentation agrees with the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use quetzalworks::errors::ResultCode;
use quetzalworks::settings;
use serde_json::Value;
use strum::IntoEnumIterator;

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("docs")
}

/// Guards against result codes that callers receive but the documentation lacks.
#[test]
fn the_table_of_result_codes_is_complete() {
    let page = fs::read_to_string(docs().join("result-codes.md")).unwrap();
    let listed: BTreeSet<String> = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(|line| line.split(" | ").take(4).collect::<Vec<_>>().join(" | "))
        .collect();
    let expected: BTreeSet<String> = ResultCode::iter()
        .map(|code| {
            let not_run = if code.is_not_run() { "yes" } else { "no" };
            let (number, status) = (code.number(), code.http_status());
            format!("| {number} | {code} | {status} | {not_run}")
        })
        .collect();
    assert_eq!(listed, expected);
}

/// Guards against example settings that the daemon rejects, and against fields
/// that the page on settings lacks.
#[test]
fn example_settings_are_valid_and_documented() {
    let page = fs::read_to_string(docs().join("settings.md")).unwrap();
    for name in ["entry", "sidecar-engine", "sidecar-service"] {
        let file = docs().join("examples").join(format!("{name}.json"));
        let settings = settings::load(&file).unwrap();
        let mut fields = BTreeSet::new();
        collect_fields(&serde_json::to_value(&settings).unwrap(), &mut fields);
        for field in fields {
            let (exact, last) = (format!("`{field}`"), format!(".{field}`"));
            let part = format!("role.{field}`");
            assert!(
                [exact, last, part].iter().any(|text| page.contains(text)),
                "{field} of {name} is not on the page"
            );
        }
    }
}

fn collect_fields(value: &Value, fields: &mut BTreeSet<String>) {
    for (name, member) in value.as_object().into_iter().flatten() {
        // Objects are documented by their fields, not under their own name.
        if !member.is_object() {
            fields.insert(name.clone());
        }
        collect_fields(member, fields);
    }
}
