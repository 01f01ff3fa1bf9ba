//! A bad version never gives more answers than the profile's bound.

use std::time::Duration;

use serde_json::json;

use crate::control_proofs::kit;
use crate::testing::cluster::Cluster;
use crate::testing::{ledger, operator, traffic, wait};

/// Answers that the profile allows over all entries together.
const BOUND: u64 = 60;
const CALLERS: usize = 8;
const WATCH: Duration = Duration::from_secs(1);

struct Case {
    name: &'static str,
    /// Entries that are killed in the roll-out, counted from the lease's holder.
    killed: &'static [usize],
}

fn check(case: &Case) {
    let cluster = Cluster::start_spec(kit::spec(3, 3));
    let (holder, _) = ledger::wait_holder(&cluster);
    let steps =
        json!([{ "share": 0.5, "min_ratings": 1_000 }, { "share": 1.0, "min_ratings": 10 }]);
    let begun = || traffic::begun(&cluster, kit::ENTERING, "");
    kit::roll_out(&cluster, 0.2, BOUND, &steps);
    traffic::during(&cluster, "chat", CALLERS, |_| {
        wait::until("the version gives answers", || begun() > 3);
        for after in case.killed {
            cluster.entries[(holder + after) % 3].process.crash();
        }
        let alive = (0..3).find(|i| !case.killed.iter().any(|after| (holder + after) % 3 == *i));
        operator::wait_rollout(&cluster, alive.unwrap(), "stopped");
        wait::until("all entries know", || {
            let served = begun();
            std::thread::sleep(WATCH);
            begun() == served
        });
    });
    assert!(
        begun() <= BOUND,
        "{}: {} answers of {BOUND}",
        case.name,
        begun()
    );
    let (ledger, _) = ledger::replay(&cluster);
    assert!(
        ledger.state().rollouts["r"].granted() <= BOUND,
        "{}",
        case.name
    );
}

/// Guards against a sum of all entries' answers over the bound.
#[test]
fn a_bad_version_stays_within_the_bound() {
    check(&Case {
        name: "no fault",
        killed: &[],
    });
}

/// Guards against an allotment of a killed entry that is spent twice.
#[test]
fn a_bad_version_stays_within_the_bound_when_entries_die() {
    check(&Case {
        name: "an entry is killed",
        killed: &[1],
    });
}
