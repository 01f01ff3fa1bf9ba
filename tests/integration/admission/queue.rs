//! Who runs, waits or is refused.

use std::time::{Duration, Instant};

use quetzalworks::admission::{Arrival, Ask, Call, Controller, Limits, Outcome, Shed};
use quetzalworks::attempt::Priority;

use crate::admission::LIMITS;

struct Waits {
    name: &'static str,
    priority: Priority,
    deadline_s: u64,
}

/// Guards against urgent work behind other work, and against a full queue
/// that keeps low work and refuses high work.
#[test]
fn queue_orders_and_sheds() {
    const LOW: Waits = Waits {
        name: "low",
        priority: Priority::Low,
        deadline_s: 20,
    };
    const LATE: Waits = Waits {
        name: "late",
        priority: Priority::Normal,
        deadline_s: 30,
    };
    const SOON: Waits = Waits {
        name: "soon",
        priority: Priority::Normal,
        deadline_s: 25,
    };
    const HIGH: Waits = Waits {
        name: "high",
        priority: Priority::High,
        deadline_s: 40,
    };
    struct Case {
        name: &'static str,
        capacity: usize,
        arrive: &'static [Waits],
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
            name: "the lowest makes room",
            capacity: 2,
            arrive: &[LOW, LATE, HIGH],
            shed: &["low"],
            served: &["high", "late"],
        },
        Case {
            name: "the lowest is not let in",
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
        let mut adm = Controller::new(limits, case.capacity);
        let (Arrival::Enter(mut permit), None) = adm.arrive(ask(&HIGH, now), "first", now) else {
            panic!("{}: not let in", case.name);
        };
        let mut shed = Vec::new();
        for waits in case.arrive {
            let (arrival, displaced) = adm.arrive(ask(waits, now), waits.name, now);
            if let Arrival::Refuse(Shed::Full { retry_after }) = arrival {
                assert!(retry_after > Duration::ZERO);
                shed.push(waits.name);
            }
            shed.extend(displaced.map(|call| match call {
                Call::Refuse(name, Shed::Full { .. }) => name,
                other => panic!("{}: {other:?}", case.name),
            }));
        }
        assert_eq!(shed, case.shed, "{}", case.name);
        let mut served = Vec::new();
        loop {
            adm.leave(permit, Outcome::Neutral, now);
            match adm.calls(now).pop() {
                Some(Call::Start(name, next)) => {
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

fn ask(waits: &Waits, now: Instant) -> Ask {
    Ask {
        priority: waits.priority,
        deadline: now + Duration::from_secs(waits.deadline_s),
        alone: false,
    }
}

/// Guards against work that waits although it cannot start in time.
#[test]
fn hopeless_work_is_refused_at_once() {
    struct Case {
        name: &'static str,
        time_left_ms: u64,
        /// Requests ahead in the queue; each place is held for one second.
        ahead: usize,
        hopeless: bool,
    }
    let cases = [
        Case {
            name: "expired",
            time_left_ms: 0,
            ahead: 0,
            hopeless: true,
        },
        Case {
            name: "next",
            time_left_ms: 501,
            ahead: 0,
            hopeless: false,
        },
        Case {
            name: "not soon enough",
            time_left_ms: 500,
            ahead: 0,
            hopeless: true,
        },
        Case {
            name: "behind three",
            time_left_ms: 2_001,
            ahead: 3,
            hopeless: false,
        },
        Case {
            name: "too late behind three",
            time_left_ms: 2_000,
            ahead: 3,
            hopeless: true,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let now = start + Duration::from_secs(1);
        let long = Limits {
            ramp_interval: Duration::from_hours(1),
            ..LIMITS
        };
        let mut adm = Controller::new(long, 10);
        let of = |ms| Ask {
            priority: Priority::Normal,
            deadline: now + Duration::from_millis(ms),
            alone: false,
        };
        let (Arrival::Enter(permit), _) = adm.arrive(of(90_000), (), start) else {
            panic!("not let in");
        };
        adm.leave(permit, Outcome::Success, now);
        for i in 0..2 + case.ahead {
            let (arrival, _) = adm.arrive(
                Ask {
                    priority: Priority::High,
                    ..of(90_000)
                },
                (),
                now,
            );
            assert_eq!(matches!(arrival, Arrival::Enter(_)), i < 2, "{}", case.name);
        }
        let (arrival, _) = adm.arrive(of(case.time_left_ms), (), now);
        let refused = matches!(arrival, Arrival::Refuse(Shed::Hopeless));
        assert_eq!(refused, case.hopeless, "{}", case.name);
    }
}

/// Guards against work that keeps waiting after it has become hopeless.
#[test]
fn waiting_work_is_judged_again() {
    struct Case {
        name: &'static str,
        /// Time for which the first request held its place.
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
        let mut adm = Controller::new(
            Limits {
                cold: 1,
                max: 1,
                ..LIMITS
            },
            4,
        );
        let due = |s| Ask {
            priority: Priority::Normal,
            deadline: start + Duration::from_secs(s),
            alone: false,
        };
        let (Arrival::Enter(first), _) = adm.arrive(due(90), "first", start) else {
            panic!("{}: not let in", case.name);
        };
        for (name, s) in [("soon", 9), ("later", 10)] {
            let (arrival, _) = adm.arrive(due(s), name, start);
            assert!(matches!(arrival, Arrival::Wait(_)), "{}", case.name);
        }
        adm.leave(first, Outcome::Success, now);
        let (mut started, mut refused) = (Vec::new(), Vec::new());
        for call in adm.calls(now) {
            match call {
                Call::Start(name, _) => started.push(name),
                Call::Refuse(name, shed) => {
                    assert_eq!(shed, Shed::Hopeless, "{}", case.name);
                    refused.push(name);
                }
            }
        }
        assert_eq!(started, case.started, "{}", case.name);
        assert_eq!(refused, case.refused, "{}", case.name);
    }
}
