//! Sidecar of a model engine: orders, crash reports, restarts and repeated checks.

use std::sync::atomic::Ordering;

use quetzalworks::errors::{Refusal, ResultCode};
use quetzalworks::fleet::{OrderAction, Warmth};
use quetzalworks::ids::{Fence, Fingerprint, RequestId};
use quetzalworks::wire::{Reply, StreamOpening};
use serde_json::{Value, json};

use crate::sidecar::fixture::{SidecarFixture, model_work, publish_change, read_frame};
use crate::testing::wait;

fn start(limit: u32) -> SidecarFixture {
    SidecarFixture::start(&json!({ "engine": { "checks_fence": false } }), limit)
}

/// Guards against an order of a previous lease holder that reaches an engine
/// which does not check fencing numbers itself.
#[test]
fn stale_orders_are_not_forwarded() {
    struct Case {
        fence: u64,
        refused: Option<ResultCode>,
    }
    let cases = [
        Case {
            fence: 5,
            refused: None,
        },
        Case {
            fence: 4,
            refused: Some(ResultCode::StaleFence),
        },
        Case {
            fence: 6,
            refused: None,
        },
    ];
    let fixture = start(4);
    let mut forwarded = Vec::new();
    for case in cases {
        let (_tx, mut rx) = fixture.open(&StreamOpening::Order {
            fence: Fence(case.fence),
            action: OrderAction::Load("small-2".parse().unwrap()),
        });
        let result: Result<(), Refusal> = read_frame(&mut rx);
        assert_eq!(result.err().map(|refusal| refusal.code), case.refused);
        if case.refused.is_none() {
            forwarded.push(json!({ "fence": case.fence, "action": { "load": "small-2" } }));
        }
        assert_eq!(*fixture.endpoint.bodies.lock().unwrap(), forwarded);
    }
}

/// Guards against a crash that is not reported or is reported once per request,
/// and against a crash report because a single answer broke off.
#[test]
fn a_crash_is_reported_once() {
    struct Case {
        name: &'static str,
        boot: &'static str,
        crash: bool,
    }
    let cases = [
        Case {
            name: "one answer broke off",
            boot: "boot-1",
            crash: false,
        },
        Case {
            name: "the engine crashed",
            boot: "boot-2",
            crash: true,
        },
    ];
    let fixture = start(4);
    for (case, first) in cases.into_iter().zip([10, 20]) {
        let ids = [first, first + 1];
        let mut streams = ids.map(|id| fixture.dispatch(id, model_work()));
        for (_, rx) in &mut streams {
            assert!(matches!(read_frame(rx), Reply::Accepted), "{}", case.name);
            assert!(
                matches!(read_frame(rx), Reply::Chunk { seq: 0, .. }),
                "{}",
                case.name
            );
        }
        *fixture.endpoint.boot.lock().unwrap() = case.boot.into();
        for _ in ids {
            fixture.endpoint.release.try_send(()).unwrap();
        }
        for (_, rx) in &mut streams {
            let failed: Reply = read_frame(rx);
            assert!(
                matches!(&failed, Reply::Failed { refusal, .. } if refusal.code == ResultCode::Interrupted),
                "{}: {failed:?}",
                case.name
            );
        }
        let cx = fixture.sidecar.cx();
        // The boot id in the engine's next status decides whether it was a crash.
        let queries = || fixture.endpoint.statuses.load(Ordering::SeqCst);
        let before = queries();
        wait::until("the engine's status is read", || queries() >= before + 3);
        if case.crash {
            let reported = || cx.control.snapshot().unrecorded_crashes.clone();
            wait::until("the crash is reported", || !reported().is_empty());
            let crashes = reported();
            assert_eq!(crashes.len(), 1, "{}", case.name);
            let mut suspects = crashes[0].in_flight.to_vec();
            suspects.sort_unstable();
            let suspect = |id: u64| (RequestId(u128::from(id)), Fingerprint(id));
            assert_eq!(suspects, [suspect(20), suspect(21)], "{}", case.name);
        }
        assert_eq!(cx.report().warmth, Warmth::Cold, "{}", case.name);
    }
    assert_eq!(
        fixture.endpoint.bodies.lock().unwrap()[0]["priority"],
        "high"
    );
}

/// Guards against queued work that starts on a version which was withdrawn, or
/// removed from the profile, after the work had arrived.
#[test]
fn queued_work_is_checked_again_before_it_starts() {
    struct Case {
        name: &'static str,
        object: &'static str,
        base: u64,
        content: Value,
        code: ResultCode,
    }
    let cases = [
        Case {
            name: "withdrawn",
            object: "versions/small-1",
            base: 1,
            content: json!({ "version": {
                "model": "small",
                "prompt_cost": 100,
                "output_cost": 300,
                "prior_quality": 0.8,
                "withdrawn": true,
            }}),
            code: ResultCode::VersionWithdrawn,
        },
        Case {
            name: "removed from the profile",
            object: "profiles/chat",
            base: 2,
            content: json!({ "profile": {
                "teams": ["red"],
                "versions": ["other-1"],
                "quality_target": 0.7,
            }}),
            code: ResultCode::NotAllowed,
        },
    ];
    for case in cases {
        let fixture = start(1);
        let (_tx1, mut running) = fixture.dispatch(1, model_work());
        assert!(matches!(read_frame(&mut running), Reply::Accepted));
        let (_tx2, mut waiting) = fixture.dispatch(2, model_work());
        let cx = fixture.sidecar.cx();
        wait::until("a request waits", || cx.report().queued == 1);
        let before = cx.control.snapshot().config;
        publish_change(&fixture.log, case.object, case.base, case.content);
        wait::until("the change is in force", || {
            cx.control.snapshot().config > before
        });
        fixture.endpoint.release.try_send(()).unwrap();
        let refused: Reply = read_frame(&mut waiting);
        assert!(
            matches!(&refused, Reply::Refused { refusal, .. } if refusal.code == case.code),
            "{}: {refused:?}",
            case.name
        );
        assert_eq!(fixture.calls(), 1, "{}", case.name);
    }
}

/// Guards against the load of a warm engine on one that has restarted while no
/// request was running, so that only the status shows the restart.
#[test]
fn a_restart_without_requests_resets_the_gate() {
    let fixture = start(4);
    let cx = fixture.sidecar.cx();
    let resets = || cx.with_admission(|adm| adm.gate().resets());
    let before = resets();
    *fixture.endpoint.boot.lock().unwrap() = "boot-2".into();
    wait::until("the gate is reset", || resets() == before + 1);
}
