//! Common setup: a rollout of the version `small-2` into the profile `chat`.

use quetzalworks::standin::RatingCommand;
use quetzalworks::units::Quality;
use serde_json::{Value, json};

use crate::testing::cluster::Cluster;
use crate::testing::operator;
use crate::testing::spec::{Spec, serving};
use crate::testing::wait;

pub const NEW_VERSION: &str = "small-2";

/// Specifies a cluster whose engines serve both versions and whose entries flush
/// ratings to the log every 200 ms.
pub fn spec(entries: usize, engines: usize) -> Spec {
    Spec {
        entries,
        engines,
        engine: Box::new(|_| serving(&["small-1", NEW_VERSION])),
        entry: json!({ "evidence_flush_ms": 200 }),
        ..Spec::default()
    }
}

/// Starts the rollout of a version whose answers have this quality, and waits
/// until all processes have it. Callers may use the profile only afterwards:
/// before the last change the version is not restricted by the rollout.
pub fn start_rollout(cluster: &Cluster, quality: f64, bound: u64, steps: &Value) {
    cluster.rating.control(RatingCommand::Quality {
        version: NEW_VERSION.parse().unwrap(),
        quality: Quality::clamped(quality),
    });
    let version =
        json!({ "model": "small", "prompt_cost": 50, "output_cost": 50, "prior_quality": 0.9 });
    operator::change(cluster, 0, "versions/small-2", &version);
    let members = json!({
        "versions": ["small-1", NEW_VERSION], "max_exposure": bound, "rollout_steps": steps,
    });
    let plan = json!({ "profile": "chat", "version": NEW_VERSION });
    operator::change(cluster, 0, "rollouts/r", &plan);
    let offset = operator::change(cluster, 0, "profiles/chat", &members);
    let nodes = || cluster.entries.iter().chain(&cluster.sidecars);
    wait::until("all processes have the rollout", || {
        operator::all_applied(nodes(), offset)
    });
}
