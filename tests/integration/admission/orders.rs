//! Orders to the engine, and its crashes.

use quetzalworks::admission::{CrashTracker, FenceCheck, OrderRefusal};
use quetzalworks::fleet::{self, OrderAction};
use quetzalworks::ids::{Fence, Fingerprint, Incarnation, RequestId};

/// Guards against orders of a lease holder that has been replaced, and against an unload
/// while requests run.
#[test]
fn orders_are_checked() {
    struct Case {
        name: &'static str,
        seen: &'static [u64],
        fence: u64,
        action: OrderAction,
        running: u32,
        expected: Result<(), OrderRefusal>,
    }
    let load = || OrderAction::Load("small-2".parse().unwrap());
    let unload = || OrderAction::Unload("small-1".parse().unwrap());
    let stale = |highest| {
        Err(OrderRefusal::Stale {
            highest: Fence(highest),
        })
    };
    let cases = [
        Case {
            name: "first",
            seen: &[],
            fence: 5,
            action: load(),
            running: 1,
            expected: Ok(()),
        },
        Case {
            name: "same",
            seen: &[5],
            fence: 5,
            action: load(),
            running: 1,
            expected: Ok(()),
        },
        Case {
            name: "stale",
            seen: &[5],
            fence: 4,
            action: load(),
            running: 0,
            expected: stale(5),
        },
        Case {
            name: "refused orders count",
            seen: &[5, 9, 6],
            fence: 8,
            action: load(),
            running: 0,
            expected: stale(9),
        },
        Case {
            name: "unload, idle",
            seen: &[],
            fence: 1,
            action: unload(),
            running: 0,
            expected: Ok(()),
        },
        Case {
            name: "unload, busy",
            seen: &[],
            fence: 1,
            action: unload(),
            running: 1,
            expected: Err(OrderRefusal::InUse),
        },
    ];
    for case in cases {
        let loaded = ["small-1".parse().unwrap()];
        let mut fences = FenceCheck::default();
        for seen in case.seen {
            let _ = fences.check(Fence(*seen), &load(), &loaded, 0);
        }
        let result = fences.check(Fence(case.fence), &case.action, &loaded, case.running);
        assert_eq!(result, case.expected, "{}", case.name);
    }
}

/// Guards against one crash that is counted once for each broken stream, which would
/// quarantine innocent requests.
#[test]
fn a_crash_is_one_incident() {
    let identity = fleet::Identity {
        vm: "vm-1".parse().unwrap(),
        domain: "domain-1".parse().unwrap(),
        region: "region-1".parse().unwrap(),
        incarnation: Incarnation(7),
        role: fleet::NodeRole::Sidecar,
    };
    let suspect = |n: u64| (RequestId(u128::from(n)), Fingerprint(n));
    let mut crashes = CrashTracker::default();
    let (a, b) = (crashes.begin(suspect(1)), crashes.begin(suspect(2)));
    let loss = crashes.connection_lost(a).unwrap();
    assert_eq!(crashes.connection_lost(b), None, "the same loss");
    crashes.withdraw(&loss);
    crashes.end(a);
    let c = crashes.begin(suspect(3));
    let loss = crashes.connection_lost(b).unwrap();
    assert_eq!(crashes.connection_lost(c), None, "the same loss");
    let report = crashes.confirm(loss, &identity);
    let mut in_flight = report.in_flight.to_vec();
    in_flight.sort_unstable();
    assert_eq!(in_flight, [suspect(2), suspect(3)]);
}
