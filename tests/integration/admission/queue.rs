//! Decisions on which requests run, wait or are refused.

use std::time::{Duration, Instant};

use quetzalworks::admission::{
    AdmissionRequest, ArrivalDecision, Controller, Limits, Outcome, QueueDecision, RefusalReason,
};
use quetzalworks::attempt::Priority;

use crate::admission::LIMITS;

struct Arriving {
    name: &'static str,
    priority: Priority,
    deadline_s: u64,
}

/// Guards against urgent requests that wait behind others, and against a full queue that
/// keeps requests of low priority and refuses those of high priority.
#[test]
fn queue_orders_and_sheds() {
    const LOW: Arriving = Arriving {
        name: "low",
        priority: Priority::Low,
        deadline_s: 20,
    };
    const LATE: Arriving = Arriving {
        name: "late",
        priority: Priority::Normal,
        deadline_s: 30,
    };
    const SOON: Arriving = Arriving {
        name: "soon",
        priority: Priority::Normal,
        deadline_s: 25,
    };
    const HIGH: Arriving = Arriving {
        name: "high",
        priority: Priority::High,
        deadline_s: 40,
    };
    struct Case {
        name: &'static str,
        capacity: usize,
        arrive: &'static [Arriving],
        shed: &'static [&'static str],
        served: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "priority, then deadline",
            capacity: 4,
            arrive: &[LOW, LATE, SOON, HIGH],
            shed: &[],
            served: &["high", "soon", "late", "low"],
        },
        Case {
            name: "the lowest is displaced",
            capacity: 2,
            arrive: &[LOW, LATE, HIGH],
            shed: &["low"],
            served: &["high", "late"],
        },
        Case {
            name: "the lowest is refused",
            capacity: 2,
            arrive: &[HIGH, SOON, LATE],
            shed: &["late"],
            served: &["high", "soon"],
        },
        Case {
            name: "no queue",
            capacity: 0,
            arrive: &[HIGH],
            shed: &["high"],
            served: &[],
        },
    ];
    for case in cases {
        let now = Instant::now();
        let limits = Limits { cold: 1, ..LIMITS };
        let mut controller = Controller::new(limits, case.capacity);
        let (ArrivalDecision::Admit(mut permit), None) =
            controller.submit(request(&HIGH, now), "first", now)
        else {
            panic!("{}: not admitted", case.name);
        };
        let mut shed = Vec::new();
        for arriving in case.arrive {
            let (arrival, displaced) =
                controller.submit(request(arriving, now), arriving.name, now);
            if let ArrivalDecision::Refuse(RefusalReason::Full { retry_after }) = arrival {
                assert!(retry_after > Duration::ZERO);
                shed.push(arriving.name);
            }
            shed.extend(displaced.map(|decision| match decision {
                QueueDecision::Refuse(name, RefusalReason::Full { .. }) => name,
                other => panic!("{}: {other:?}", case.name),
            }));
        }
        assert_eq!(shed, case.shed, "{}", case.name);
        let mut served = Vec::new();
        loop {
            controller.release(permit, Outcome::Neutral, now);
            match controller.take_decisions(now).pop() {
                Some(QueueDecision::Start(name, next)) => {
                    served.push(name);
                    permit = next;
                }
                None => break,
                Some(other) => panic!("{}: {other:?}", case.name),
            }
        }
        assert_eq!(served, case.served, "{}", case.name);
    }
}

fn request(arriving: &Arriving, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        priority: arriving.priority,
        deadline: now + Duration::from_secs(arriving.deadline_s),
        exclusive: false,
    }
}

/// Guards against a request that waits although it cannot start before its deadline.
#[test]
fn unreachable_deadlines_are_refused_at_once() {
    struct Case {
        name: &'static str,
        time_left_ms: u64,
        /// Requests ahead in the queue; each holds its slot for 1 s.
        ahead: usize,
        unreachable: bool,
    }
    let cases = [
        Case {
            name: "expired",
            time_left_ms: 0,
            ahead: 0,
            unreachable: true,
        },
        Case {
            name: "next, in time",
            time_left_ms: 501,
            ahead: 0,
            unreachable: false,
        },
        Case {
            name: "next, cannot start in time",
            time_left_ms: 500,
            ahead: 0,
            unreachable: true,
        },
        Case {
            name: "behind three, in time",
            time_left_ms: 2_001,
            ahead: 3,
            unreachable: false,
        },
        Case {
            name: "behind three, cannot start in time",
            time_left_ms: 2_000,
            ahead: 3,
            unreachable: true,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let now = start + Duration::from_secs(1);
        let long = Limits {
            ramp_interval: Duration::from_hours(1),
            ..LIMITS
        };
        let mut controller = Controller::new(long, 10);
        let of = |ms| AdmissionRequest {
            priority: Priority::Normal,
            deadline: now + Duration::from_millis(ms),
            exclusive: false,
        };
        let (ArrivalDecision::Admit(permit), _) = controller.submit(of(90_000), (), start) else {
            panic!("not admitted");
        };
        controller.release(permit, Outcome::Success, now);
        for i in 0..2 + case.ahead {
            let (arrival, _) = controller.submit(
                AdmissionRequest {
                    priority: Priority::High,
                    ..of(90_000)
                },
                (),
                now,
            );
            assert_eq!(
                matches!(arrival, ArrivalDecision::Admit(_)),
                i < 2,
                "{}",
                case.name
            );
        }
        let (arrival, _) = controller.submit(of(case.time_left_ms), (), now);
        let refused = matches!(
            arrival,
            ArrivalDecision::Refuse(RefusalReason::DeadlineUnreachable)
        );
        assert_eq!(refused, case.unreachable, "{}", case.name);
    }
}

/// Guards against a request that keeps waiting once it can no longer start before its
/// deadline.
#[test]
fn waiting_requests_are_reevaluated() {
    struct Case {
        name: &'static str,
        /// Time for which the first request held its slot.
        held_s: u64,
        started: &'static [&'static str],
        refused: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "in time",
            held_s: 4,
            started: &["soon"],
            refused: &[],
        },
        Case {
            name: "the second cannot start any more",
            held_s: 6,
            started: &["soon"],
            refused: &["later"],
        },
        Case {
            name: "both have expired",
            held_s: 10,
            started: &[],
            refused: &["soon", "later"],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let now = start + Duration::from_secs(case.held_s);
        let mut controller = Controller::new(
            Limits {
                cold: 1,
                max: 1,
                ..LIMITS
            },
            4,
        );
        let due = |s| AdmissionRequest {
            priority: Priority::Normal,
            deadline: start + Duration::from_secs(s),
            exclusive: false,
        };
        let (ArrivalDecision::Admit(first), _) = controller.submit(due(90), "first", start) else {
            panic!("{}: not admitted", case.name);
        };
        for (name, s) in [("soon", 9), ("later", 10)] {
            let (arrival, _) = controller.submit(due(s), name, start);
            assert!(matches!(arrival, ArrivalDecision::Wait(_)), "{}", case.name);
        }
        controller.release(first, Outcome::Success, now);
        let (mut started, mut refused) = (Vec::new(), Vec::new());
        for decision in controller.take_decisions(now) {
            match decision {
                QueueDecision::Start(name, _) => started.push(name),
                QueueDecision::Refuse(name, shed) => {
                    assert_eq!(shed, RefusalReason::DeadlineUnreachable, "{}", case.name);
                    refused.push(name);
                }
            }
        }
        assert_eq!(started, case.started, "{}", case.name);
        assert_eq!(refused, case.refused, "{}", case.name);
    }
}
