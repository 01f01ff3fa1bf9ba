//! Answers that are rated before they are returned.

use quetzalworks::platform::Stream;
use quetzalworks::standin::RatingCommand;
use quetzalworks::units::Quality;
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::spec::{Spec, serving};
use crate::testing::{http, wait};

fn reasons(record: &serde_json::Value) -> Vec<&str> {
    let attempts = record["attempts"].as_array().unwrap().iter();
    attempts
        .map(|attempt| attempt["reason"].as_str().unwrap())
        .collect()
}

/// Guards against an answer below the target that is returned although a better version is
/// allowed, and against a second attempt that is not billed.
#[test]
fn verified_answers_meet_the_target() {
    struct Case {
        name: &'static str,
        small: f64,
        large: f64,
        outage: bool,
        version: &'static str,
        reasons: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "cheap one suffices",
            small: 0.95,
            large: 0.95,
            outage: false,
            version: "small-1",
            reasons: &["cheapest_at_target"],
        },
        Case {
            name: "cheap one falls short",
            small: 0.5,
            large: 0.95,
            outage: false,
            version: "large-1",
            reasons: &["cheapest_at_target", "cascade"],
        },
        Case {
            name: "both fall short",
            small: 0.6,
            large: 0.3,
            outage: false,
            version: "small-1",
            reasons: &["cheapest_at_target", "cascade"],
        },
        Case {
            name: "not rated",
            small: 0.5,
            large: 0.95,
            outage: true,
            version: "small-1",
            reasons: &["cheapest_at_target"],
        },
    ];
    let cluster = Cluster::start_spec(Spec {
        engine: Box::new(|_| serving(&["small-1", "large-1"])),
        entry: json!({ "usage_flush_ms": 50, "evidence_flush_ms": 50 }),
        ..Spec::default()
    });
    let large =
        json!({ "model": "large", "prompt_cost": 900, "output_cost": 900, "prior_quality": 0.7 });
    cluster.publish("versions/large-1", 0, json!({ "version": large }));
    // The prior of the expensive version is below the target, so that it is not explored.
    let profile = json!({
        "teams": ["red"], "versions": ["small-1", "large-1"],
        "quality_target": 0.8, "verify": true,
    });
    cluster.publish("profiles/verified", 0, json!({ "profile": profile }));
    let send = |content: &str| {
        let body = json!({
            "model": "verified", "max_tokens": 3,
            "messages": [{ "role": "user", "content": content }],
        });
        http::post(
            cluster.entry_addr(0),
            "/v1/chat/completions",
            &cluster.team_token,
            &body,
        )
    };
    wait::until("the profile is in force", || send("ready?").status == 200);
    cluster.rating.control(RatingCommand::Noise(0.0));
    for case in cases {
        for (version, quality) in [("small-1", case.small), ("large-1", case.large)] {
            cluster.rating.control(RatingCommand::Quality {
                version: version.parse().unwrap(),
                quality: Quality::clamped(quality),
            });
        }
        cluster.rating.control(RatingCommand::Outage(case.outage));
        let answer = send(case.name);
        assert_eq!(answer.status, 200, "{}", answer.text());
        let version = answer.header("x-quetzalworks-version");
        assert_eq!(version, Some(case.version), "{}", case.name);
        let id = answer.header("x-quetzalworks-request-id").unwrap();
        let records = || -> Vec<serde_json::Value> {
            let records = cluster.log.records(Stream::Usage).into_iter();
            records.filter(|record| record["request"] == id).collect()
        };
        wait::until("usage record", || !records().is_empty());
        assert_eq!(reasons(&records()[0]), case.reasons, "{}", case.name);
        assert_eq!(
            answer.header("x-quetzalworks-cost"),
            Some(records()[0]["cost"].to_string().as_str()),
            "{}",
            case.name
        );
    }
    wait::until("evidence", || {
        !cluster.log.records(Stream::Evidence).is_empty()
    });
}
