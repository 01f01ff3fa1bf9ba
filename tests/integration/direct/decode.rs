//! Decoding of the platform's formats: settings, endpoint records, configuration.

use hyper::body::Bytes;
use quetzalworks::catalog::CallKind;
use quetzalworks::direct::OperatorChange;
use quetzalworks::observe::LeftOut;
use quetzalworks::platform::{direct_settings, endpoint_record, operator, report};
use quetzalworks::settings::SettingsError;
use quetzalworks::units::Millis;
use serde_json::{Value, json};

use crate::direct::world::{SETTINGS, config, entry};

/// Guards against accepting an invalid settings file, or rejecting it without
/// naming the field.
#[test]
fn an_invalid_setting_is_named() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        field: &'static str,
    }
    let cases = [
        Case {
            name: "invalid address",
            from: "Front = \"127.0.0.1:1\"",
            to: "Front = \"here\"",
            field: "ListenAddrs.Front",
        },
        Case {
            name: "wrong type",
            from: "NodeName = \"edge-north-1\"",
            to: "NodeName = 3",
            field: "NodeName",
        },
        Case {
            name: "missing field",
            from: "Ready = \"127.0.0.1:2\"",
            to: "",
            field: "ListenAddrs",
        },
        Case {
            name: "text for a number",
            from: "DrainMs = 2000",
            to: "DrainMs = \"soon\"",
            field: "ContractParams.DrainMs",
        },
    ];
    for case in cases {
        let text = SETTINGS.replace(case.from, case.to);
        match direct_settings::parse(&text) {
            Err(SettingsError::Invalid { field, line, .. }) => {
                assert_eq!(&*field, case.field, "{}", case.name);
                assert!(line > 0, "{}", case.name);
            }
            other => panic!("{}: {other:?}", case.name),
        }
    }
}

/// Guards against failing on unknown fields, and against losing limits.
#[test]
fn settings_are_resolved() {
    let settings = direct_settings::parse(SETTINGS).unwrap();
    assert_eq!(settings.regions.len(), 2);
    assert_eq!(settings.bounds.grace, Millis(8_000));
    assert_eq!(settings.bounds.revoke, Some(Millis(5_000)));
    let lax =
        direct_settings::parse(&SETTINGS.replace("StrictRevoke = true", "StrictRevoke = false"));
    assert_eq!(lax.unwrap().bounds.revoke, None);
}

/// Guards against accepting malformed records under the id of an endpoint.
#[test]
fn forged_endpoint_records_are_refused() {
    struct Case {
        name: &'static str,
        field: &'static str,
        value: Value,
    }
    let cases = [
        Case {
            name: "no service",
            field: "Service",
            value: Value::Null,
        },
        Case {
            name: "a number for an address",
            field: "Address",
            value: json!(7),
        },
        Case {
            name: "an address without a port",
            field: "Address",
            value: json!("10.0.0.1"),
        },
        Case {
            name: "an unknown state",
            field: "State",
            value: json!("resting"),
        },
        Case {
            name: "no slots",
            field: "Slots",
            value: json!(0),
        },
        Case {
            name: "a text for the slots",
            field: "Slots",
            value: json!("4"),
        },
        Case {
            name: "a text for the sequence",
            field: "Sequence",
            value: json!("4"),
        },
        Case {
            name: "a fraction for the start",
            field: "born",
            value: json!(1.5),
        },
        Case {
            name: "a list for the version",
            field: "Version",
            value: json!([]),
        },
    ];
    for case in cases {
        let mut value = entry("writer", "v1", 1);
        value[case.field] = case.value;
        let decoded = endpoint_record::decode("a", &value.to_string().into());
        assert!(decoded.is_err(), "{}: {decoded:?}", case.name);
    }
    assert!(endpoint_record::decode("a", &"not JSON".into()).is_err());
    assert!(endpoint_record::decode("a/b", &entry("writer", "v1", 1).to_string().into()).is_err());
}

/// Guards against decoding the kind, traffic split or prefix of a route wrongly.
#[test]
fn a_configuration_is_decoded() {
    struct Case {
        path: &'static str,
        route: Option<&'static str>,
        kind: CallKind,
    }
    let mut config = config(7);
    config["Routes"][2]["TrafficSplit"] =
        json!([{ "Service": "desk", "Weight": 90 }, { "Service": "writer", "Weight": 10 }]);
    config["Routes"][2]["PathPrefix"] = json!("/hold/deep/");
    let change = operator::decode(
        "config",
        Some(&config.to_string().into()),
        &mut LeftOut::default(),
    );
    let Some(OperatorChange::Deployment(deployment)) = change else {
        panic!("{change:?}");
    };
    let cases = [
        Case {
            path: "/chat/x",
            route: Some("r-chat"),
            kind: CallKind::Stream { resumable: true },
        },
        Case {
            path: "/hold/x",
            route: Some("r-hold"),
            kind: CallKind::NonIdempotent,
        },
        Case {
            path: "/hold/deep/x",
            route: Some("r-look"),
            kind: CallKind::Idempotent,
        },
        Case {
            path: "/other/",
            route: None,
            kind: CallKind::Idempotent,
        },
    ];
    for case in cases {
        let rule = deployment.route("example.test", case.path);
        assert_eq!(
            rule.map(|rule| rule.name.as_str()),
            case.route,
            "{}",
            case.path
        );
        assert!(
            rule.is_none_or(|rule| rule.kind == case.kind),
            "{}",
            case.path
        );
    }
    assert!(deployment.route("other.test", "/chat/x").is_none());
    let split = deployment.route("example.test", "/hold/deep/x").unwrap();
    let parts = (0..1_000).filter(|hash| split.service_for(*hash).unwrap().as_str() == "writer");
    assert_eq!(parts.count(), 100);
}

/// Guards against records that are left out without a word, and against removed ones that are
/// called unusable.
#[test]
fn records_that_cannot_be_used_are_named() {
    struct Case {
        decode: fn(&str, Option<&Bytes>, &mut LeftOut),
        key: &'static str,
        value: Option<&'static str>,
        /// Begin of the reason in the line; `None` for no line.
        reason: Option<&'static str>,
    }
    let in_operator: fn(&str, Option<&Bytes>, &mut LeftOut) =
        |key, value, left_out| drop(operator::decode(key, value, left_out));
    let in_reports: fn(&str, Option<&Bytes>, &mut LeftOut) =
        |key, value, left_out| drop(report::decode(key, value, left_out));
    let named = |decode, key, reason| Case {
        decode,
        key,
        value: Some("{}"),
        reason: Some(reason),
    };
    let removed = |decode, key| Case {
        decode,
        key,
        value: None,
        reason: None,
    };
    let crashes = "crashes/00000000000000000000000000000001";
    let cases = [
        named(in_operator, "&", "unknown kind"),
        named(in_operator, "a\n\"", "unknown kind"),
        named(in_operator, "limits/a", "unknown kind"),
        named(in_operator, crashes, "unknown kind"),
        named(in_operator, "config", "missing field `Version`"),
        named(in_operator, "rollout/a b", "invalid name \"a b\""),
        named(in_operator, "rollout/a", "missing field `Target`"),
        named(in_operator, "evacuate/&", "invalid name \"&\""),
        removed(in_operator, "&"),
        removed(in_operator, "rollout/a"),
        named(in_reports, "&", "unknown kind"),
        named(in_reports, "a\n\"", "unknown kind"),
        named(in_reports, "config", "unknown kind"),
        named(in_reports, "rollout/a b", "invalid name \"a b\""),
        named(in_reports, "rollout/a", "missing field `State`"),
        named(in_reports, "limits/a", "missing field `Rate`"),
        named(in_reports, "limits/&", "invalid name \"&\""),
        named(in_reports, crashes, "invalid type: map"),
        removed(in_reports, "&"),
        removed(in_reports, "rollout/a"),
        removed(in_reports, "limits/a"),
    ];
    for case in cases {
        let mut left_out = LeftOut::default();
        let value = case.value.map(Bytes::from);
        (case.decode)(case.key, value.as_ref(), &mut left_out);
        let line = left_out.to_string();
        let key = case.key;
        let begin = case.reason.map(|reason| format!("{key:?} ({reason}"));
        let is_expected = begin.map_or(line.is_empty(), |begin| line.starts_with(&begin));
        assert!(is_expected, "{key}: {line}");
    }
}

/// Guards against lines that grow with the number of records that are left out, or their keys.
#[test]
fn the_line_of_what_is_left_out_is_bounded() {
    let mut left_out = LeftOut::default();
    for i in 0..1_000 {
        left_out.push(&format!("{i}{}", "\u{1}".repeat(255)), "?".repeat(10_000));
    }
    let line = left_out.to_string();
    assert!(line.contains("\"0") && line.contains("\"4"), "{line}");
    assert!(line.len() < 4_096, "{}", line.len());
}
