//! Concurrency limit of an endpoint and its ramp.

use std::time::{Duration, Instant};

use quetzalworks::admission::{AnyWarmth, Gate, Limits, Outcome, Permit, Warmth};
use quetzalworks::fleet;

use crate::admission::{INTERVAL, LIMITS};

/// Admits a request at `from` and ends it at `to`.
fn pass(gate: &mut Gate, outcome: Outcome, from: Instant, to: Instant) {
    let permit = gate.try_enter(false, from).unwrap();
    gate.release(permit, outcome, to);
}

/// Returns a gate that has ramped up from 2 over 4 to its full limit of 7.
fn warm_gate(start: Instant) -> Gate {
    let mut gate = Gate::new(LIMITS);
    pass(&mut gate, Outcome::Success, start, start + INTERVAL);
    assert_eq!((gate.limit(), gate.warmth()), (4, fleet::Warmth::Ramping));
    let ramping = start + INTERVAL;
    pass(&mut gate, Outcome::Success, ramping, ramping + INTERVAL);
    assert_eq!((gate.limit(), gate.warmth()), (7, fleet::Warmth::Warm));
    gate
}

/// Guards against a limit that rises without successes under load: idle time counted as
/// well, so that the limit rose with the first answer after it.
#[test]
fn gate_ramps_only_on_successes() {
    use Outcome::{Error, Neutral, Success};
    struct Case {
        name: &'static str,
        /// Outcomes, with the milliseconds at which each request is admitted and ends.
        outcomes: &'static [(Outcome, u64, u64)],
        limit: u32,
    }
    let cases = [
        Case {
            name: "idle",
            outcomes: &[],
            limit: 2,
        },
        Case {
            name: "too early",
            outcomes: &[(Success, 0, 999)],
            limit: 2,
        },
        Case {
            name: "one interval",
            outcomes: &[(Success, 0, 1_000)],
            limit: 4,
        },
        Case {
            name: "an interval with idle time inside",
            outcomes: &[(Success, 0, 400), (Success, 5_000, 5_600)],
            limit: 4,
        },
        Case {
            name: "idle before an answer",
            outcomes: &[(Success, 60_000, 60_010)],
            limit: 2,
        },
        Case {
            name: "idle between answers",
            outcomes: &[(Success, 0, 10), (Success, 60_000, 60_010)],
            limit: 2,
        },
        Case {
            name: "a long interval counts once",
            outcomes: &[(Success, 0, 60_000), (Success, 60_000, 60_000)],
            limit: 4,
        },
        Case {
            name: "neutral ends",
            outcomes: &[(Neutral, 0, 5_000)],
            limit: 2,
        },
        Case {
            name: "an error restarts the interval",
            outcomes: &[(Success, 0, 900), (Error, 900, 950), (Success, 950, 1_900)],
            limit: 2,
        },
        Case {
            name: "an error after a doubling",
            outcomes: &[(Success, 0, 1_000), (Error, 1_000, 1_001)],
            limit: 2,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut gate = Gate::new(LIMITS);
        for (outcome, from, to) in case.outcomes {
            let at = |ms| start + Duration::from_millis(ms);
            pass(&mut gate, *outcome, at(*from), at(*to));
        }
        assert_eq!(gate.limit(), case.limit, "{}", case.name);
    }
}

/// Guards against full load on an endpoint that has become cold without warning.
#[test]
fn gate_falls_to_the_cold_limit_at_once() {
    struct Case {
        name: &'static str,
        signal: fn(&mut Gate, Permit, Instant),
        resets: bool,
    }
    fn token(gate: &mut Gate, permit: Permit, ms: u64, now: Instant) {
        gate.record_first_token(&permit, Duration::from_millis(ms), now);
        gate.release(permit, Outcome::Neutral, now);
    }
    let cases = [
        Case {
            name: "error",
            signal: |gate, permit, now| _ = gate.release(permit, Outcome::Error, now),
            resets: true,
        },
        Case {
            name: "new boot id",
            signal: |gate, permit, now| {
                assert!(gate.observe_boot_id(&"b".into(), now));
                gate.release(permit, Outcome::Success, now);
            },
            resets: true,
        },
        Case {
            name: "same boot id",
            signal: |gate, permit, now| {
                assert!(!gate.observe_boot_id(&"a".into(), now));
                gate.release(permit, Outcome::Success, now);
            },
            resets: false,
        },
        Case {
            name: "slow first token",
            signal: |gate, permit, now| token(gate, permit, 401, now),
            resets: true,
        },
        Case {
            name: "no first token",
            signal: |gate, permit, now| {
                gate.record_missed_first_token(&permit, Duration::from_millis(401), now);
                gate.release(permit, Outcome::Neutral, now);
            },
            resets: true,
        },
        Case {
            name: "abandoned early",
            signal: |gate, permit, now| {
                gate.record_missed_first_token(&permit, Duration::from_millis(399), now);
                gate.release(permit, Outcome::Neutral, now);
            },
            resets: false,
        },
        Case {
            name: "first token at the bound",
            signal: |gate, permit, now| token(gate, permit, 400, now),
            resets: false,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let now = start + INTERVAL * 3;
        let mut gate = warm_gate(start);
        gate.observe_boot_id(&"a".into(), now);
        for _ in 0..16 {
            let permit = gate.try_enter(false, now).unwrap();
            token(&mut gate, permit, 100, now);
        }
        let mut running: Vec<Permit> = (0..7)
            .map(|_| gate.try_enter(false, now).unwrap())
            .collect();
        (case.signal)(&mut gate, running.pop().unwrap(), now);
        let limit = if case.resets { 2 } else { 7 };
        assert_eq!(gate.limit(), limit, "{}", case.name);
        // Requests admitted before the reset neither raise nor lower the limit, and must
        // end before new ones are admitted.
        while case.resets && gate.running() >= limit {
            assert!(gate.try_enter(false, now).is_none(), "{}", case.name);
            gate.release(running.pop().unwrap(), Outcome::Success, now + INTERVAL);
            assert_eq!(gate.limit(), limit, "{}", case.name);
        }
        assert!(gate.try_enter(false, now).is_some(), "{}", case.name);
    }
}

/// Guards against a reset on the evidence of a few first-token times.
#[test]
fn few_first_token_times_cause_no_reset() {
    let start = Instant::now();
    let mut gate = warm_gate(start);
    for i in 0..16 {
        let permit = gate.try_enter(false, start).unwrap();
        let took = Duration::from_millis(if i % 2 == 0 { 10 } else { 10_000 });
        assert!(!gate.record_first_token(&permit, took, start), "sample {i}");
        gate.release(permit, Outcome::Neutral, start);
    }
}

/// Guards against a doubling that leads to a wrong state, and against a cold limit above
/// the maximum.
#[test]
fn warmth_doubles_up_to_the_maximum() {
    let now = Instant::now();
    let AnyWarmth::Ramping(ramping) = Warmth::new(LIMITS, None).ramp(now) else {
        panic!("not ramping after the first doubling");
    };
    assert!(matches!(ramping.ramp(now), AnyWarmth::Warm(_)));
    let flat = Limits { cold: 9, ..LIMITS };
    let cold = AnyWarmth::Cold(Warmth::new(flat, None));
    assert_eq!(cold.limit(), 7, "the cold limit never exceeds the maximum");
}

/// Guards against a request that is admitted after a connection was lost and is ended by
/// the crash behind that loss.
#[test]
fn none_enters_while_a_crash_is_unclear() {
    struct Case {
        name: &'static str,
        losses: usize,
        cleared: usize,
        alone: bool,
        enters: bool,
    }
    let cases = [
        Case {
            name: "no loss",
            losses: 0,
            cleared: 0,
            alone: false,
            enters: true,
        },
        Case {
            name: "unclear",
            losses: 1,
            cleared: 0,
            alone: false,
            enters: false,
        },
        Case {
            name: "unclear, for one that runs alone",
            losses: 1,
            cleared: 0,
            alone: true,
            enters: false,
        },
        Case {
            name: "one of two is cleared",
            losses: 2,
            cleared: 1,
            alone: false,
            enters: false,
        },
        Case {
            name: "all are cleared",
            losses: 2,
            cleared: 2,
            alone: true,
            enters: true,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut gate = Gate::new(LIMITS);
        (0..case.losses).for_each(|_| gate.record_connection_loss());
        (0..case.cleared).for_each(|_| gate.resolve_connection_loss());
        let entered = gate.try_enter(case.alone, now).is_some();
        assert_eq!(entered, case.enters, "{}", case.name);
    }
}
