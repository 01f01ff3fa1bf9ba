//! A poison request takes at most two endpoints with it.

use serde_json::json;

use crate::proofs::caller::{Caller, Chat, Ended};
use crate::testing::cluster::Cluster;
use crate::testing::spec::{Spec, serving};

/// Result code of a quarantined request.
const QUARANTINED: u64 = 1422;
/// Endpoints that one poison request may crash.
const MAX_LOST: u64 = 2;

struct Case {
    name: &'static str,
    /// Entries through which the caller sends the request, each time on a new connection.
    entries: &'static [usize],
    stream: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "again through the same entry",
        entries: &[0, 0, 0, 0, 0],
        stream: false,
    },
    Case {
        name: "again through another entry each time",
        entries: &[0, 1, 2, 0, 1, 2],
        stream: true,
    },
];

/// Guards against a poison request that crashes a third endpoint when its
/// caller sends it again, through another entry too, and against other
/// requests that are lost or refused with it.
#[test]
fn a_poison_request_takes_two_endpoints_at_most() {
    let cluster = Cluster::start_spec(Spec {
        entries: 3,
        engines: 6,
        engine: Box::new(|_| {
            let mut profile = serving(&["small-1"]);
            profile.poison = Some("poison".into());
            profile
        }),
        sidecar: json!({ "cold_limit": 16, "max_concurrent": 16 }),
        ..Spec::default()
    });
    let caller = Caller::of(&cluster);
    let crashes = || -> u64 {
        let engines = cluster.engines.iter();
        engines.map(|engine| engine.stats().crashes).sum()
    };
    for case in CASES {
        let before = crashes();
        let chat = Chat {
            stream: case.stream,
            ..Chat::default()
        };
        let mut poison = Vec::new();
        let sent = caller.load_during(case.name, 6, Chat::default(), || {
            for entry in case.entries {
                let text = format!("poison: {}", case.name);
                poison.push(caller.chat(*entry, &text, chat).1);
            }
        });
        let lost = crashes() - before;
        assert!(lost <= MAX_LOST, "{}: {lost} lost: {poison:?}", case.name);
        let quarantined = Ended::Refused {
            number: QUARANTINED,
            not_run: true,
        };
        assert_eq!(poison.last(), Some(&quarantined), "{}", case.name);
        for (messages, ended) in &sent {
            let whole = matches!(ended, Ended::Whole(_));
            assert!(whole, "{}: {messages}: {ended:?}", case.name);
        }
    }
}
