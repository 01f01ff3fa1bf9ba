//! A leaving VM receives no new work after [`LAST_WORK`], even while one entry
//! has an old version of the platform's list.

use std::time::Duration;

use quetzalworks::platform_clients::VmState;
use quetzalworks::standin::Faults;

use crate::testing::cluster::Cluster;
use crate::testing::spec::Spec;
use crate::testing::{traffic, wait};

/// Maximum time until the last new work on a leaving VM.
const LAST_WORK: Duration = Duration::from_secs(3);
const WATCH: Duration = Duration::from_secs(1);
const CALLERS: usize = 6;

/// Guards against new work on a leaving VM from an entry that cannot read the
/// current list.
#[test]
fn leaving_vms_get_no_new_work() {
    struct Case {
        name: &'static str,
        /// Entries that cannot read the list and keep an old one.
        lagging: std::ops::Range<usize>,
    }
    let cases = [
        Case {
            name: "no lag",
            lagging: 0..0,
        },
        Case {
            name: "one entry lags",
            lagging: 1..2,
        },
    ];
    let cluster = Cluster::start_spec(Spec {
        entries: 2,
        engines: 3,
        ..Spec::default()
    });
    let started = || cluster.engines[1].stats().requests;
    traffic::with_background_traffic(&cluster, "chat", CALLERS, |_| {
        for case in cases {
            let before = started();
            wait::until("the endpoint is in use", || started() > before + 20);
            for entry in &cluster.entries[case.lagging.clone()] {
                entry.inventory_proxy.set(Faults::cut());
            }
            cluster.inventory.set_state("endpoint-1", VmState::Leaving);
            std::thread::sleep(LAST_WORK);
            let started_until_target = started();
            std::thread::sleep(WATCH);
            assert_eq!(started(), started_until_target, "{}: new work", case.name);
            for entry in &cluster.entries {
                entry.inventory_proxy.set(Faults::default());
            }
            cluster.inventory.set_state("endpoint-1", VmState::Live);
        }
    });
}
