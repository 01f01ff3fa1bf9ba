//! A leaving VM receives no new work after a few seconds, also while the
//! platform's list lags at one entry.

use std::time::Duration;

use quetzalworks::services::VmState;
use quetzalworks::standin::Faults;

use crate::testing::cluster::Cluster;
use crate::testing::spec::Spec;
use crate::testing::{traffic, wait};

/// The target for the last new work.
const LAST_WORK: Duration = Duration::from_secs(3);
const WATCH: Duration = Duration::from_secs(1);
const CALLERS: usize = 6;

/// Guards against an entry that reads an old list and gives work to a leaving VM.
#[test]
fn leaving_vms_get_no_new_work() {
    struct Case {
        name: &'static str,
        /// Entries that read an old list.
        lag: std::ops::Range<usize>,
    }
    let cases = [
        Case {
            name: "no lag",
            lag: 0..0,
        },
        Case {
            name: "one entry lags",
            lag: 1..2,
        },
    ];
    let cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 3,
        ..Spec::default()
    });
    let begun = || cluster.engines[1].stats().requests;
    traffic::during(&cluster, "chat", CALLERS, |_| {
        for case in cases {
            let before = begun();
            wait::until("the endpoint is in use", || begun() > before + 20);
            for entry in &cluster.entries[case.lag.clone()] {
                entry.list_proxy.set(Faults::cut());
            }
            cluster.inventory.set_state("endpoint-1", VmState::Leaving);
            std::thread::sleep(LAST_WORK);
            let then = begun();
            std::thread::sleep(WATCH);
            assert_eq!(begun(), then, "{}: new work", case.name);
            for entry in &cluster.entries {
                entry.list_proxy.set(Faults::default());
            }
            cluster.inventory.set_state("endpoint-1", VmState::Live);
        }
    });
}
