//! Rollouts while the rating service or the weight store is unavailable.

use std::time::Duration;

use quetzalworks::standin::{RatingCommand, WeightsCommand};
use quetzalworks::units::Millis;
use serde_json::json;

use crate::control_proofs::kit;
use crate::testing::cluster::Cluster;
use crate::testing::spec::{Spec, serving};
use crate::testing::{operator, traffic, wait};

const CALLERS: usize = 4;
/// Maximum number of concurrent loads from the stand-in weight store.
const PARALLEL_LOADS: u32 = 2;
/// Longer than the interval at which estimates are published, 10 s.
const OUTAGE: Duration = Duration::from_secs(11);

/// Guards against a step that passes without ratings, and against a good version
/// whose rollout never completes.
#[test]
fn rollouts_wait_for_ratings_and_then_complete() {
    let cluster = Cluster::start_spec(kit::spec(2, 2));
    cluster.rating.control(RatingCommand::Outage(true));
    let steps = json!([{ "share": 0.5, "min_ratings": 10 }]);
    kit::start_rollout(&cluster, 0.95, 2_000, &steps);
    operator::wait_rollout(&cluster, 0, "stepping");
    traffic::with_background_traffic(&cluster, "chat", CALLERS, |count| {
        std::thread::sleep(OUTAGE);
        assert_eq!(operator::rollout_state(&cluster, 0), "stepping");
        cluster.rating.control(RatingCommand::Outage(false));
        operator::wait_rollout(&cluster, 0, "complete");
        assert_eq!(count.failed.load(std::sync::atomic::Ordering::Relaxed), 0);
    });
}

/// Guards against more concurrent loads than the weight store allows, and against
/// an old version that stops serving while the new one cannot be loaded.
#[test]
fn the_old_version_serves_while_weights_cannot_be_loaded() {
    struct Case {
        name: &'static str,
        outage: bool,
        load_time: Millis,
        state: &'static str,
    }
    let cases = [
        Case {
            name: "outage",
            outage: true,
            load_time: Millis(50),
            state: "loading",
        },
        Case {
            name: "slow loads",
            outage: false,
            load_time: Millis(1_500),
            state: "complete",
        },
    ];
    for case in cases {
        let cluster = Cluster::start_spec(Spec {
            engine: Box::new(|_| serving(&["small-1"])),
            ..kit::spec(1, 6)
        });
        for engine in &cluster.engines {
            engine.update_profile(|profile| profile.weights_addr = Some(cluster.weights.addr()));
        }
        cluster.weights.control(WeightsCommand::Outage(case.outage));
        cluster
            .weights
            .control(WeightsCommand::LoadTime(case.load_time));
        let steps = json!([{ "share": 0.5, "min_ratings": 5 }]);
        traffic::with_background_traffic(&cluster, "chat", CALLERS, |count| {
            kit::start_rollout(&cluster, 0.95, 400, &steps);
            let failed = || {
                cluster
                    .engines
                    .iter()
                    .map(|engine| engine.stats().failed_loads)
                    .sum::<u64>()
            };
            let loaded = || {
                cluster
                    .engines
                    .iter()
                    .all(|engine| engine.versions().len() == 2)
            };
            wait::until("the loads have failed or completed", || {
                if case.outage { failed() > 0 } else { loaded() }
            });
            wait::until(case.name, || {
                operator::rollout_state(&cluster, 0) == case.state
            });
            assert_eq!(
                count.failed.load(std::sync::atomic::Ordering::Relaxed),
                0,
                "{}",
                case.name
            );
        });
        let stats = cluster.weights.stats();
        assert!(stats.peak <= PARALLEL_LOADS, "{}: {stats:?}", case.name);
        assert_eq!(stats.refused, 0, "{}", case.name);
    }
}
