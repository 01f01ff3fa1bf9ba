//! A roll-out of the version `small-2` into the profile `chat`.

use quetzalworks::standin::RatingCommand;
use quetzalworks::units::Quality;
use serde_json::{Value, json};

use crate::testing::cluster::Cluster;
use crate::testing::operator;
use crate::testing::spec::{Spec, serving};
use crate::testing::wait;

pub const ENTERING: &str = "small-2";

/// Entries and engines that serve both versions, with ratings put on record quickly.
pub fn spec(entries: usize, engines: usize) -> Spec {
    Spec {
        entries,
        engines,
        engine: Box::new(|_| serving(&["small-1", ENTERING])),
        entry: json!({ "evidence_flush_ms": 200 }),
        ..Spec::default()
    }
}

/// Starts the roll-out of a version whose answers have this quality, and waits
/// until it is in force. Only afterwards may callers use the profile: between
/// the changes the version is one like any other.
pub fn roll_out(cluster: &Cluster, quality: f64, bound: u64, steps: &Value) {
    cluster.rating.control(RatingCommand::Quality {
        version: ENTERING.parse().unwrap(),
        quality: Quality::clamped(quality),
    });
    let version =
        json!({ "model": "small", "prompt_cost": 50, "output_cost": 50, "prior_quality": 0.9 });
    operator::change(cluster, 0, "versions/small-2", &version);
    let members = json!({
        "versions": ["small-1", ENTERING], "max_exposure": bound, "rollout_steps": steps,
    });
    let plan = json!({ "profile": "chat", "version": ENTERING });
    operator::change(cluster, 0, "rollouts/r", &plan);
    let offset = operator::change(cluster, 0, "profiles/chat", &members);
    let nodes = || cluster.entries.iter().chain(&cluster.sidecars);
    wait::until("in force", || operator::have(nodes(), offset));
}
