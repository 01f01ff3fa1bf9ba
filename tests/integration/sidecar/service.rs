//! Plain services: calls that run at most once, and a planned stop.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use quetzalworks::attempt::{CallRef, ServiceAnswer};
use quetzalworks::errors::ResultCode;
use quetzalworks::ids::{CallId, Generation, Incarnation, RequestId};
use quetzalworks::wire::{FenceReply, Opening, Reply};
use serde_json::json;

use crate::sidecar::beside::{Beside, ME, read, service};
use crate::testing::wait;

fn start(limit: u32) -> Beside {
    Beside::start(&json!({ "service": { "name": "bookings" } }), limit)
}

fn call(id: u128, incarnation: Incarnation) -> CallRef {
    CallRef {
        call: CallId(id),
        generation: Generation(1),
        incarnation,
    }
}

fn fence(beside: &Beside, id: u128, incarnation: Incarnation) -> FenceReply {
    let (_tx, mut rx) = beside.open(&Opening::FenceCall {
        call: CallId(id),
        generation: Generation(1),
        incarnation,
    });
    read(&mut rx)
}

fn answer(body: &str) -> ServiceAnswer {
    ServiceAnswer {
        status: 201,
        content_type: Some("application/json".into()),
        body: body.into(),
    }
}

/// Guards against a booking that is made twice, and against "not run" for one that was made.
#[test]
fn calls_run_at_most_once() {
    #[derive(Debug, PartialEq)]
    enum Said {
        Answer(ServiceAnswer),
        Refused(ResultCode),
    }
    struct Case {
        name: &'static str,
        call: CallRef,
        said: Said,
        calls: u32,
        fence: FenceReply,
    }
    let other = Incarnation(6);
    let beside = start(4);
    assert_eq!(fence(&beside, 2, ME), FenceReply::Fenced);
    let cases = [
        Case {
            name: "first",
            call: call(1, ME),
            said: Said::Answer(answer("1")),
            calls: 1,
            fence: FenceReply::Finished(answer("1")),
        },
        Case {
            name: "repeat",
            call: call(1, ME),
            said: Said::Answer(answer("1")),
            calls: 1,
            fence: FenceReply::Finished(answer("1")),
        },
        Case {
            name: "fenced",
            call: call(2, ME),
            said: Said::Refused(ResultCode::AttemptFenced),
            calls: 1,
            fence: FenceReply::Fenced,
        },
        Case {
            name: "another run",
            call: call(3, other),
            said: Said::Refused(ResultCode::IncarnationMismatch),
            calls: 1,
            fence: FenceReply::Unknown,
        },
    ];
    for (case, id) in cases.into_iter().zip(1..) {
        let (_tx, mut rx) = beside.dispatch(id, service("/book", Some(case.call)));
        let said = match read(&mut rx) {
            Reply::Accepted => match read(&mut rx) {
                Reply::Answer(answer) => Said::Answer(answer),
                reply => panic!("{}: {reply:?}", case.name),
            },
            Reply::Refused { refusal, .. } => Said::Refused(refusal.code),
            reply => panic!("{}: {reply:?}", case.name),
        };
        assert_eq!(said, case.said, "{}", case.name);
        assert_eq!(beside.calls(), case.calls, "{}", case.name);
        let CallRef {
            call, incarnation, ..
        } = case.call;
        assert_eq!(
            fence(&beside, call.0, incarnation),
            case.fence,
            "{}",
            case.name
        );
    }
}

/// Guards against a call that is cut off, and run again, when its entry goes away.
#[test]
fn a_call_outlives_its_entry() {
    let beside = start(4);
    let (tx, rx) = beside.dispatch(1, service("/slow", Some(call(1, ME))));
    wait::until("the call runs", || beside.calls() == 1);
    assert_eq!(fence(&beside, 1, ME), FenceReply::Running);
    drop((tx, rx));
    beside.endpoint.release.try_send(()).unwrap();
    wait::until("the call ends", || {
        fence(&beside, 1, ME) == FenceReply::Finished(answer("1"))
    });
}

/// Guards against work for an entry that no longer waits for it.
#[test]
fn a_request_leaves_the_queue_with_its_entry() {
    let beside = start(1);
    let (_tx, mut running) = beside.dispatch(1, service("/slow", None));
    wait::until("the call runs", || beside.calls() == 1);
    let waiting = beside.dispatch(2, service("/book", Some(call(2, ME))));
    let queued = || beside.sidecar.cx().report().queued;
    wait::until("the request waits", || queued() == 1);
    drop(waiting);
    wait::until("the request leaves", || queued() == 0);
    beside.endpoint.release.try_send(()).unwrap();
    assert!(matches!(read(&mut running), Reply::Accepted));
    assert_eq!(fence(&beside, 2, ME), FenceReply::Fenced);
    assert_eq!(beside.calls(), 1);
}

/// Guards against "outcome unknown" where nothing was sent.
#[test]
fn a_service_that_is_down_runs_nothing() {
    let mut beside = start(4);
    beside.server = None;
    wait::until("refused as not run", || {
        let (_tx, mut rx) = beside.dispatch(1, service("/book", Some(call(1, ME))));
        matches!(read(&mut rx), Reply::Refused { refusal, .. } if refusal.code == ResultCode::Unreachable)
    });
    assert_eq!(fence(&beside, 1, ME), FenceReply::Fenced);
}

/// Guards against usage that is appended again because the answer to its append was lost.
#[test]
fn a_lost_answer_bills_once() {
    let kind = json!({ "service": { "name": "bookings" } });
    let beside = Beside::start_lossy(&kind, 4, 2);
    for id in 1..=3 {
        let (_tx, mut rx) = beside.dispatch(id, service("/book", None));
        assert!(matches!(read(&mut rx), Reply::Accepted));
        assert!(matches!(read(&mut rx), Reply::Answer(_)));
    }
    smol::block_on(beside.sidecar.stop(Instant::now() + Duration::from_mins(1)));
    assert_eq!(beside.billed(), [1, 2, 3].map(RequestId));
}

/// Guards against a planned stop that cuts a request off, leaves one
/// waiting, or loses what is to be billed.
#[test]
fn a_planned_stop_interrupts_nothing() {
    let beside = start(1);
    let (_tx1, mut confirmed) = beside.dispatch(1, service("/book", None));
    assert!(matches!(read(&mut confirmed), Reply::Accepted));
    assert!(matches!(read(&mut confirmed), Reply::Answer(_)));
    let durable = Opening::UsageDurable(vec![RequestId(1)]);
    let _durable = beside.open(&durable);
    wait::until("the copy is dropped", || {
        beside
            .sidecar
            .cx()
            .with_usage_copies(|copies| copies.is_empty())
    });
    let (_tx2, mut running) = beside.dispatch(2, service("/slow", None));
    wait::until("the call runs", || beside.calls() == 2);
    let (_tx3, mut waiting) = beside.dispatch(3, service("/book", None));
    wait::until("a request waits", || {
        beside.sidecar.cx().report().queued == 1
    });
    let sidecar = Arc::clone(&beside.sidecar);
    let stop = thread::spawn(move || {
        smol::block_on(sidecar.stop(Instant::now() + Duration::from_mins(1)));
    });
    let refused: Reply = read(&mut waiting);
    assert!(
        matches!(&refused, Reply::Refused { refusal, .. } if refusal.code == ResultCode::Draining),
        "{refused:?}"
    );
    beside.endpoint.release.try_send(()).unwrap();
    assert!(matches!(read(&mut running), Reply::Accepted));
    assert!(matches!(read(&mut running), Reply::Answer(_)));
    stop.join().unwrap();
    assert_eq!(beside.billed(), [RequestId(2)]);
    assert_eq!(beside.calls(), 2);
    let closed = smol::block_on(beside.connection.closed());
    assert!(
        matches!(closed, quinn::ConnectionError::ApplicationClosed(_)),
        "{closed:?}"
    );
}
