//! Table of non-idempotent calls beside an endpoint.

use quetzalworks::admission::{CallBounds, CallRefusal, CallState, CallTable};
use quetzalworks::attempt::{CallRef, ServiceAnswer};
use quetzalworks::ids::{CallId, Generation, Incarnation};
use quetzalworks::units::Bytes;

const THIS_INCARNATION: Incarnation = Incarnation(7);

fn call(id: u128, generation: u32) -> CallRef {
    CallRef {
        call: CallId(id),
        generation: Generation(generation),
        incarnation: THIS_INCARNATION,
    }
}

fn answer(len: usize) -> ServiceAnswer {
    ServiceAnswer {
        status: 200,
        content_type: None,
        body: vec![1; len],
    }
}

fn table(entries: usize, bytes: u64) -> CallTable {
    let bytes = Bytes(bytes);
    CallTable::new(THIS_INCARNATION, CallBounds { entries, bytes })
}

struct Case {
    name: &'static str,
    before: fn(&mut CallTable),
    fence: CallState,
    start: Result<(), CallRefusal>,
}

fn cases() -> [Case; 9] {
    let known = |state| Err(CallRefusal::Known(state));
    [
        Case {
            name: "not seen",
            before: |_| {},
            fence: CallState::Fenced,
            start: known(CallState::Fenced),
        },
        Case {
            name: "running",
            before: |calls| calls.start(&call(1, 1)).unwrap(),
            fence: CallState::Running,
            start: known(CallState::Running),
        },
        Case {
            name: "finished",
            before: |calls| {
                calls.start(&call(1, 1)).unwrap();
                calls.finish(&call(1, 1), Some(answer(3)));
            },
            fence: CallState::Finished(answer(3)),
            start: known(CallState::Finished(answer(3))),
        },
        Case {
            name: "ended without an answer",
            before: |calls| {
                calls.start(&call(1, 1)).unwrap();
                calls.finish(&call(1, 1), None);
            },
            fence: CallState::Unknown,
            start: known(CallState::Unknown),
        },
        Case {
            name: "abandoned",
            before: |calls| {
                calls.start(&call(1, 1)).unwrap();
                calls.abandon(&call(1, 1));
            },
            fence: CallState::Fenced,
            start: known(CallState::Fenced),
        },
        Case {
            name: "another generation is another attempt",
            before: |calls| {
                assert_eq!(
                    calls.fence(CallId(1), Generation(0), THIS_INCARNATION),
                    CallState::Fenced
                );
            },
            fence: CallState::Fenced,
            start: known(CallState::Fenced),
        },
        Case {
            name: "finished, evicted by number of calls",
            before: |calls| {
                for id in 1..=3 {
                    calls.start(&call(id, 1)).unwrap();
                    calls.finish(&call(id, 1), Some(answer(1)));
                }
            },
            fence: CallState::Unknown,
            start: known(CallState::Unknown),
        },
        Case {
            name: "finished, evicted by size of answers",
            before: |calls| {
                calls.start(&call(1, 1)).unwrap();
                calls.finish(&call(1, 1), Some(answer(101)));
            },
            fence: CallState::Unknown,
            start: known(CallState::Unknown),
        },
        Case {
            name: "fenced, evicted",
            before: |calls| {
                for id in 1..=3 {
                    calls.fence(CallId(id), Generation(1), THIS_INCARNATION);
                }
            },
            fence: CallState::Unknown,
            start: known(CallState::Unknown),
        },
    ]
}

/// Guards against a call that is executed twice, and against a wrong report on whether it
/// was executed.
#[test]
fn a_fence_reports_the_state_of_the_call() {
    for case in cases() {
        let mut calls = table(2, 100);
        (case.before)(&mut calls);
        assert_eq!(
            calls.fence(CallId(1), Generation(1), THIS_INCARNATION),
            case.fence,
            "{}",
            case.name
        );
        assert_eq!(calls.start(&call(1, 1)), case.start, "{}", case.name);
    }
    let other = Incarnation(6);
    let mut calls = table(2, 100);
    let stray = CallRef {
        incarnation: other,
        ..call(1, 1)
    };
    assert_eq!(calls.start(&stray), Err(CallRefusal::Incarnation));
    assert_eq!(
        calls.fence(CallId(1), Generation(1), other),
        CallState::Unknown
    );
}

/// Guards against a second start of a call, and against a start after the call was reported
/// as fenced.
#[test]
fn a_call_starts_at_most_once() {
    arbtest::arbtest(|u| {
        let mut calls = table(u.int_in_range(0..=3)?, u.int_in_range(0..=20)?);
        let mut sent = [[false; 2]; 5];
        let mut fenced = [[false; 2]; 5];
        for _ in 0..u.int_in_range(1..=60)? {
            let (id, generation) = (u.choose_index(5)?, u.choose_index(2)?);
            let call = call(id as u128, u32::try_from(generation).unwrap());
            match u.int_in_range(0..=3)? {
                0 => {
                    if calls.start(&call).is_ok() {
                        assert!(!sent[id][generation], "{call:?} started again");
                        assert!(!fenced[id][generation], "{call:?} started after its fence");
                        if u.ratio(1, 4)? {
                            calls.abandon(&call);
                        } else {
                            sent[id][generation] = true;
                        }
                    }
                }
                1 => calls.finish(&call, u.ratio(3, 4)?.then(|| answer(9))),
                _ => {
                    let state = calls.fence(call.call, call.generation, THIS_INCARNATION);
                    if state == CallState::Fenced {
                        assert!(
                            !sent[id][generation],
                            "{call:?} is reported not to have run"
                        );
                        fenced[id][generation] = true;
                    }
                }
            }
        }
        Ok(())
    })
    .seed(0x5eed_0011_0000_0200)
    .run();
}
