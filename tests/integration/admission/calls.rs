//! Non-idempotent calls.

use quetzalworks::admission::{CallBounds, CallRefusal, CallState, Calls};
use quetzalworks::attempt::{CallRef, ServiceAnswer};
use quetzalworks::ids::{CallId, Generation, Incarnation};
use quetzalworks::units::Bytes;

const ME: Incarnation = Incarnation(7);

fn call(id: u128, generation: u32) -> CallRef {
    CallRef {
        call: CallId(id),
        generation: Generation(generation),
        incarnation: ME,
    }
}

fn answer(len: usize) -> ServiceAnswer {
    ServiceAnswer {
        status: 200,
        content_type: None,
        body: vec![1; len],
    }
}

fn table(entries: usize, bytes: u64) -> Calls {
    let bytes = Bytes(bytes);
    Calls::new(ME, CallBounds { entries, bytes })
}

struct Case {
    name: &'static str,
    before: fn(&mut Calls),
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
            name: "broken off",
            before: |calls| {
                calls.start(&call(1, 1)).unwrap();
                calls.finish(&call(1, 1), None);
            },
            fence: CallState::Unknown,
            start: known(CallState::Unknown),
        },
        Case {
            name: "never sent",
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
                assert_eq!(calls.fence(CallId(1), Generation(0), ME), CallState::Fenced);
            },
            fence: CallState::Fenced,
            start: known(CallState::Fenced),
        },
        Case {
            name: "finished and fallen out by number",
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
            name: "finished and fallen out by size",
            before: |calls| {
                calls.start(&call(1, 1)).unwrap();
                calls.finish(&call(1, 1), Some(answer(101)));
            },
            fence: CallState::Unknown,
            start: known(CallState::Unknown),
        },
        Case {
            name: "fenced and fallen out",
            before: |calls| {
                for id in 1..=3 {
                    calls.fence(CallId(id), Generation(1), ME);
                }
            },
            fence: CallState::Unknown,
            start: known(CallState::Unknown),
        },
    ]
}

/// Guards against a call that runs twice, and against a wrong word on whether it ran.
#[test]
fn fence_table_says_what_became_of_a_call() {
    for case in cases() {
        let mut calls = table(2, 100);
        (case.before)(&mut calls);
        assert_eq!(
            calls.fence(CallId(1), Generation(1), ME),
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

/// Guards against a second start of a call, and against a start after `Fenced`.
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
                    let state = calls.fence(call.call, call.generation, ME);
                    if state == CallState::Fenced {
                        assert!(!sent[id][generation], "{call:?} is said not to have run");
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
