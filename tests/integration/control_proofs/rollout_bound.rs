//! A bad version never gives more answers than the profile's exposure bound.

use std::time::Duration;

use serde_json::json;

use crate::control_proofs::kit;
use crate::testing::cluster::Cluster;
use crate::testing::{ledger, operator, traffic, wait};

/// Maximum number of answers from the version over all entries together.
const BOUND: u64 = 60;
const CALLERS: usize = 8;
const WATCH: Duration = Duration::from_secs(1);

struct Case {
    name: &'static str,
    /// Entries killed during the rollout, as offsets from the lease holder.
    killed: &'static [usize],
}

fn check(case: &Case) {
    let cluster = Cluster::start_spec(kit::spec(3, 3));
    let (holder, _) = ledger::wait_holder(&cluster);
    let steps =
        json!([{ "share": 0.5, "min_ratings": 1_000 }, { "share": 1.0, "min_ratings": 10 }]);
    let started = || traffic::requests_started(&cluster, kit::NEW_VERSION, "");
    kit::start_rollout(&cluster, 0.2, BOUND, &steps);
    traffic::with_background_traffic(&cluster, "chat", CALLERS, |_| {
        wait::until("the version gives answers", || started() > 3);
        for after in case.killed {
            cluster.entries[(holder + after) % 3]
                .process
                .kill_unreaped();
        }
        let alive = (0..3).find(|i| !case.killed.iter().any(|after| (holder + after) % 3 == *i));
        operator::wait_rollout(&cluster, alive.unwrap(), "stopped");
        wait::until("no entry uses the version any more", || {
            let served = started();
            std::thread::sleep(WATCH);
            started() == served
        });
    });
    assert!(
        started() <= BOUND,
        "{}: {} answers of {BOUND}",
        case.name,
        started()
    );
    let (ledger, _) = ledger::replay(&cluster);
    assert!(
        ledger.state().rollouts["r"].granted() <= BOUND,
        "{}",
        case.name
    );
}

/// Guards against entries whose answers together exceed the bound.
#[test]
fn a_bad_version_stays_within_the_bound() {
    check(&Case {
        name: "no fault",
        killed: &[],
    });
}

/// Guards against an allotment of a killed entry that is granted again.
#[test]
fn a_bad_version_stays_within_the_bound_when_entries_die() {
    check(&Case {
        name: "an entry is killed",
        killed: &[1],
    });
}
