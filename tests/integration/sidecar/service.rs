//! Sidecar of a plain service: at-most-once calls, usage records and a planned stop.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use quetzalworks::attempt::{CallRef, ServiceAnswer};
use quetzalworks::errors::ResultCode;
use quetzalworks::ids::{CallId, Generation, Incarnation, RequestId};
use quetzalworks::wire::{FenceReply, Reply, StreamOpening};
use serde_json::json;

use crate::sidecar::fixture::{SIDECAR_INCARNATION, SidecarFixture, read_frame, service_work};
use crate::testing::wait;

fn start(limit: u32) -> SidecarFixture {
    SidecarFixture::start(&json!({ "service": { "name": "bookings" } }), limit)
}

fn call(id: u128, incarnation: Incarnation) -> CallRef {
    CallRef {
        call: CallId(id),
        generation: Generation(1),
        incarnation,
    }
}

fn fence(fixture: &SidecarFixture, id: u128, incarnation: Incarnation) -> FenceReply {
    let (_tx, mut rx) = fixture.open(&StreamOpening::FenceCall {
        call: CallId(id),
        generation: Generation(1),
        incarnation,
    });
    read_frame(&mut rx)
}

fn answer(body: &str) -> ServiceAnswer {
    ServiceAnswer {
        status: 201,
        content_type: Some("application/json".into()),
        body: body.into(),
    }
}

/// Guards against a booking that is made twice on a retry, and against a reply
/// "not run" for a booking that was made.
#[test]
fn calls_run_at_most_once() {
    #[derive(Debug, PartialEq)]
    enum Outcome {
        Answer(ServiceAnswer),
        Refused(ResultCode),
    }
    struct Case {
        name: &'static str,
        call: CallRef,
        outcome: Outcome,
        calls: u32,
        fence: FenceReply,
    }
    let other = Incarnation(6);
    let fixture = start(4);
    assert_eq!(fence(&fixture, 2, SIDECAR_INCARNATION), FenceReply::Fenced);
    let cases = [
        Case {
            name: "first",
            call: call(1, SIDECAR_INCARNATION),
            outcome: Outcome::Answer(answer("1")),
            calls: 1,
            fence: FenceReply::Finished(answer("1")),
        },
        Case {
            name: "retry",
            call: call(1, SIDECAR_INCARNATION),
            outcome: Outcome::Answer(answer("1")),
            calls: 1,
            fence: FenceReply::Finished(answer("1")),
        },
        Case {
            name: "fenced",
            call: call(2, SIDECAR_INCARNATION),
            outcome: Outcome::Refused(ResultCode::AttemptFenced),
            calls: 1,
            fence: FenceReply::Fenced,
        },
        Case {
            name: "another incarnation",
            call: call(3, other),
            outcome: Outcome::Refused(ResultCode::IncarnationMismatch),
            calls: 1,
            fence: FenceReply::Unknown,
        },
    ];
    for (case, id) in cases.into_iter().zip(1..) {
        let (_tx, mut rx) = fixture.dispatch(id, service_work("/book", Some(case.call)));
        let outcome = match read_frame(&mut rx) {
            Reply::Accepted => match read_frame(&mut rx) {
                Reply::Answer(answer) => Outcome::Answer(answer),
                reply => panic!("{}: {reply:?}", case.name),
            },
            Reply::Refused { refusal, .. } => Outcome::Refused(refusal.code),
            reply => panic!("{}: {reply:?}", case.name),
        };
        assert_eq!(outcome, case.outcome, "{}", case.name);
        assert_eq!(fixture.calls(), case.calls, "{}", case.name);
        let CallRef {
            call, incarnation, ..
        } = case.call;
        assert_eq!(
            fence(&fixture, call.0, incarnation),
            case.fence,
            "{}",
            case.name
        );
    }
}

/// Guards against a non-idempotent call that is interrupted, and later retried,
/// because the entry that dispatched it disconnects.
#[test]
fn a_call_completes_after_its_entry_disconnects() {
    let fixture = start(4);
    let (tx, rx) = fixture.dispatch(1, service_work("/slow", Some(call(1, SIDECAR_INCARNATION))));
    wait::until("the call runs", || fixture.calls() == 1);
    assert_eq!(fence(&fixture, 1, SIDECAR_INCARNATION), FenceReply::Running);
    drop((tx, rx));
    fixture.endpoint.release.try_send(()).unwrap();
    wait::until("the call ends", || {
        fence(&fixture, 1, SIDECAR_INCARNATION) == FenceReply::Finished(answer("1"))
    });
}

/// Guards against a queued request that still runs after its entry has cancelled it.
#[test]
fn a_cancelled_request_leaves_the_queue() {
    let fixture = start(1);
    let (_tx, mut running) = fixture.dispatch(1, service_work("/slow", None));
    wait::until("the call runs", || fixture.calls() == 1);
    let waiting = fixture.dispatch(2, service_work("/book", Some(call(2, SIDECAR_INCARNATION))));
    let queued = || fixture.sidecar.cx().report().queued;
    wait::until("the request waits", || queued() == 1);
    drop(waiting);
    wait::until("the request leaves the queue", || queued() == 0);
    fixture.endpoint.release.try_send(()).unwrap();
    assert!(matches!(read_frame(&mut running), Reply::Accepted));
    assert_eq!(fence(&fixture, 2, SIDECAR_INCARNATION), FenceReply::Fenced);
    assert_eq!(fixture.calls(), 1);
}

/// Guards against the reply "outcome unknown" for a call that was never sent
/// because the service is down.
#[test]
fn a_call_to_a_service_that_is_down_is_not_run() {
    let mut fixture = start(4);
    fixture.server = None;
    wait::until("the call is refused as unreachable", || {
        let (_tx, mut rx) =
            fixture.dispatch(1, service_work("/book", Some(call(1, SIDECAR_INCARNATION))));
        matches!(read_frame(&mut rx), Reply::Refused { refusal, .. } if refusal.code == ResultCode::Unreachable)
    });
    assert_eq!(fence(&fixture, 1, SIDECAR_INCARNATION), FenceReply::Fenced);
}

/// Guards against usage records that are appended twice because the answers to
/// earlier appends were lost.
#[test]
fn usage_is_appended_once_after_lost_answers() {
    let kind = json!({ "service": { "name": "bookings" } });
    let fixture = SidecarFixture::start_lossy(&kind, 4, 2);
    for id in 1..=3 {
        let (_tx, mut rx) = fixture.dispatch(id, service_work("/book", None));
        assert!(matches!(read_frame(&mut rx), Reply::Accepted));
        assert!(matches!(read_frame(&mut rx), Reply::Answer(_)));
    }
    smol::block_on(
        fixture
            .sidecar
            .stop(Instant::now() + Duration::from_mins(1)),
    );
    assert_eq!(fixture.billed(), [1, 2, 3].map(RequestId));
}

/// Guards against a planned stop that interrupts a running request, leaves a
/// queued one without a reply, or loses usage records.
#[test]
fn a_planned_stop_completes_running_requests() {
    let fixture = start(1);
    let (_tx1, mut confirmed) = fixture.dispatch(1, service_work("/book", None));
    assert!(matches!(read_frame(&mut confirmed), Reply::Accepted));
    assert!(matches!(read_frame(&mut confirmed), Reply::Answer(_)));
    let durable = StreamOpening::UsageDurable(vec![RequestId(1)]);
    let _durable = fixture.open(&durable);
    wait::until("the confirmed copy is removed", || {
        fixture
            .sidecar
            .cx()
            .with_usage_copies(|copies| copies.is_empty())
    });
    let (_tx2, mut running) = fixture.dispatch(2, service_work("/slow", None));
    wait::until("the call runs", || fixture.calls() == 2);
    let (_tx3, mut waiting) = fixture.dispatch(3, service_work("/book", None));
    wait::until("a request waits", || {
        fixture.sidecar.cx().report().queued == 1
    });
    let sidecar = Arc::clone(&fixture.sidecar);
    let stop = thread::spawn(move || {
        smol::block_on(sidecar.stop(Instant::now() + Duration::from_mins(1)));
    });
    let refused: Reply = read_frame(&mut waiting);
    assert!(
        matches!(&refused, Reply::Refused { refusal, .. } if refusal.code == ResultCode::Draining),
        "{refused:?}"
    );
    fixture.endpoint.release.try_send(()).unwrap();
    assert!(matches!(read_frame(&mut running), Reply::Accepted));
    assert!(matches!(read_frame(&mut running), Reply::Answer(_)));
    stop.join().unwrap();
    assert_eq!(fixture.billed(), [RequestId(2)]);
    assert_eq!(fixture.calls(), 2);
    let closed = smol::block_on(fixture.connection.closed());
    assert!(
        matches!(closed, quinn::ConnectionError::ApplicationClosed(_)),
        "{closed:?}"
    );
}
