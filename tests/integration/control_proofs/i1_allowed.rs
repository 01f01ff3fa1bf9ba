//! I1: a request runs only on a model and version that its team's profile allows.

use serde_json::{Value, json};

use crate::testing::cluster::Cluster;
use crate::testing::spec::{Spec, serving};
use crate::testing::{operator, traffic, wait};

/// Requests sent to each entry after each change.
const REQUESTS: usize = 10;

struct Case {
    profile: &'static str,
    /// Content of the profile after the change; `null` deletes it.
    after: Value,
    /// Versions on which no request may start after the change.
    forbidden: &'static [&'static str],
}

/// Guards against forbidden work from an entry with an old configuration: the
/// entry is cut off from the log and from the other entry before the change.
#[test]
fn lagging_entries_run_nothing_forbidden() {
    let cases = [
        Case {
            profile: "fewer-versions",
            after: json!({ "profile": { "teams": ["red"], "versions": ["large-1"], "quality_target": 0.7 } }),
            forbidden: &["small-1", "other-1"],
        },
        Case {
            profile: "other-team",
            after: json!({ "profile": { "teams": ["blue"], "versions": ["small-1"], "quality_target": 0.7 } }),
            forbidden: &["small-1", "large-1", "other-1"],
        },
        Case {
            profile: "deleted",
            after: Value::Null,
            forbidden: &["small-1", "large-1", "other-1"],
        },
    ];
    let cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 3,
        engine: Box::new(|_| serving(&["small-1", "large-1", "other-1"])),
        proxy_log: true,
        proxy_peers: true,
        ..Spec::default()
    });
    let large =
        json!({ "model": "large", "prompt_cost": 900, "output_cost": 900, "prior_quality": 0.9 });
    cluster.publish("versions/large-1", 0, json!({ "version": large }));
    cluster.publish("versions/other-1", 0, json!({ "version": large }));
    cluster.publish("teams/blue", 0, json!({ "team": { "token_sha256": [] } }));
    let before = json!({ "profile": { "teams": ["red"], "versions": ["small-1", "large-1"], "quality_target": 0.7 } });
    for case in &cases {
        cluster.publish(&format!("profiles/{}", case.profile), 0, before.clone());
    }
    for case in &cases {
        wait::until("both entries answer with 200", || {
            (0..2).all(|entry| {
                let answer = traffic::send_chat(&cluster, entry, case.profile, "before", None);
                answer.is_some_and(|answer| answer.status == 200)
            })
        });
    }
    operator::set_log_cut([&cluster.entries[1]], true);
    operator::set_peers_cut(&cluster.entries, true);
    for case in &cases {
        check(&cluster, case);
    }
}

fn check(cluster: &Cluster, case: &Case) {
    let id = format!("profiles/{}", case.profile);
    let (base, _) = operator::get(cluster, 0, &id).unwrap();
    cluster.publish(&id, base, case.after.clone());
    let offset = cluster
        .log
        .records(quetzalworks::platform::Stream::Config)
        .len() as u64
        - 1;
    wait::until("the sidecars have the change", || {
        operator::all_applied(&cluster.sidecars, offset)
    });
    assert!(
        !operator::all_applied([&cluster.entries[1]], offset),
        "{}: the entry must not have the change",
        case.profile
    );
    let text = format!("after {}", case.profile);
    for entry in [0, 1] {
        for _ in 0..REQUESTS {
            traffic::send_chat(cluster, entry, case.profile, &text, None).unwrap();
        }
    }
    for version in case.forbidden {
        let started = traffic::requests_started(cluster, version, &text);
        assert_eq!(started, 0, "{}: requests on {version}", case.profile);
    }
}
