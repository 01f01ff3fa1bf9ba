//! The ledger as a replicated state machine.

use arbtest::arbitrary::Unstructured;
use quetzalworks::estimate::Estimate;
use quetzalworks::ids::{ChangeId, Fence, Incarnation, Offset};
use quetzalworks::lease::Holder;
use quetzalworks::ledger::{
    Body, Grant, LeaseAction, Ledger, Message, Record, RolloutTransition, StepEvidence,
};
use quetzalworks::rollout;
use quetzalworks::units::Quality;

const ROLLOUT: &str = "chat-small-2";
const BOUND: u64 = 40;

fn holder(vm: &str) -> Holder {
    Holder {
        vm: vm.parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

fn lease(vm: &str, base: Option<u64>, action: LeaseAction) -> Body {
    Body::Lease {
        holder: holder(vm),
        base: base.map(Offset),
        action,
    }
}

fn claim(vm: &str, base: Option<u64>) -> Body {
    lease(vm, base, LeaseAction::Claim)
}

fn step(fence: u64, to: RolloutTransition) -> Body {
    Body::Rollout {
        fence: Fence(fence),
        rollout: ROLLOUT.into(),
        to,
    }
}

fn start(fence: u64) -> Body {
    let to = RolloutTransition::Start {
        profile: "chat".parse().unwrap(),
        version: "small-2".parse().unwrap(),
    };
    step(fence, to)
}

fn grant(fence: u64, step: u32, vm: &str, total: u64) -> Body {
    Body::Allotment {
        fence: Fence(fence),
        rollout: ROLLOUT.into(),
        step,
        bound: BOUND,
        grants: vec![Grant {
            vm: vm.parse().unwrap(),
            incarnation: Incarnation(1),
            total,
        }],
    }
}

fn records(bodies: Vec<Body>) -> Vec<Record> {
    let entry = |(body, offset): (Body, u64)| Record {
        offset: Offset(offset),
        entry: Some(Message {
            id: ChangeId(u128::from(offset)),
            body,
        }),
    };
    bodies.into_iter().zip(0..).map(entry).collect()
}

fn applied(records: &[Record]) -> Ledger {
    let mut ledger = Ledger::default();
    for record in records {
        ledger.apply(record);
    }
    ledger
}

/// Asserts that a process that starts from a checkpoint at any point reaches the
/// same state as one that has applied all records.
fn assert_checkpoints_agree(name: &str, records: &[Record]) {
    let complete = applied(records);
    for cut in 1..=records.len() {
        let mut late = Ledger::default();
        late.apply_checkpoint(&applied(&records[..cut]).checkpoint().unwrap());
        for record in &records[cut..] {
            late.apply(record);
        }
        assert_eq!(late, complete, "{name} from {cut}");
    }
    let text = serde_json::to_string(&complete.checkpoint()).unwrap();
    assert_eq!(
        serde_json::from_str::<Option<_>>(&text).unwrap(),
        complete.checkpoint(),
        "{name}"
    );
}

struct LeaseCase {
    name: &'static str,
    bodies: Vec<Body>,
    holder: Option<(&'static str, u64)>,
    step: Option<u32>,
    granted: u64,
}
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn lease_cases() -> Vec<LeaseCase> {
    let late_checkpoint = || {
        Body::Checkpoint(
            applied(&records(vec![claim("a", None)]))
                .checkpoint()
                .unwrap(),
        )
    };
    vec![
        LeaseCase {
            name: "first of two concurrent claims is accepted",
            bodies: vec![claim("a", None), claim("b", None)],
            holder: Some(("a", 0)),
            step: None,
            granted: 0,
        },
        LeaseCase {
            name: "claim based on a record before the last renewal is rejected",
            bodies: vec![
                claim("a", None),
                lease("a", Some(0), LeaseAction::Renew),
                claim("b", Some(0)),
            ],
            holder: Some(("a", 0)),
            step: None,
            granted: 0,
        },
        LeaseCase {
            name: "renewal by a previous holder is rejected",
            bodies: vec![
                claim("a", None),
                claim("b", Some(0)),
                lease("a", Some(0), LeaseAction::Renew),
                lease("a", Some(1), LeaseAction::Renew),
            ],
            holder: Some(("b", 1)),
            step: None,
            granted: 0,
        },
        LeaseCase {
            name: "writes after a release are ignored",
            bodies: vec![
                claim("a", None),
                lease("a", Some(0), LeaseAction::Release),
                start(0),
            ],
            holder: None,
            step: None,
            granted: 0,
        },
        LeaseCase {
            name: "writes of a previous holder are ignored",
            bodies: vec![
                claim("a", None),
                start(0),
                step(0, RolloutTransition::Step(0)),
                grant(0, 0, "a", 10),
                claim("b", Some(0)),
                step(0, RolloutTransition::Step(1)),
                grant(0, 0, "a", 20),
            ],
            holder: Some(("b", 4)),
            step: Some(0),
            granted: 10,
        },
        LeaseCase {
            name: "a new holder continues where the first stopped",
            bodies: vec![
                claim("a", None),
                start(0),
                step(0, RolloutTransition::Step(0)),
                grant(0, 0, "a", 10),
                claim("b", Some(0)),
                step(4, RolloutTransition::Step(1)),
                grant(4, 1, "b", 40),
            ],
            holder: Some(("b", 4)),
            step: Some(1),
            granted: 50,
        },
        LeaseCase {
            name: "steps are neither skipped nor repeated",
            bodies: vec![
                claim("a", None),
                start(0),
                step(0, RolloutTransition::Step(0)),
                step(0, RolloutTransition::Step(2)),
                step(0, RolloutTransition::Step(0)),
                start(0),
            ],
            holder: Some(("a", 0)),
            step: Some(0),
            granted: 0,
        },
        LeaseCase {
            name: "grants beyond the limit or for another step are ignored",
            bodies: vec![
                claim("a", None),
                start(0),
                step(0, RolloutTransition::Step(0)),
                grant(0, 0, "a", 30),
                grant(0, 0, "b", 11),
                grant(0, 1, "b", 1),
                grant(0, 0, "b", 10),
            ],
            holder: Some(("a", 0)),
            step: Some(0),
            granted: 40,
        },
        LeaseCase {
            name: "checkpoint appended late",
            bodies: vec![claim("a", None), claim("b", Some(0)), late_checkpoint()],
            holder: Some(("b", 1)),
            step: None,
            granted: 0,
        },
    ]
}

/// Guards against two holders at a time, against late writes of a previous holder
/// that take effect, and against an old checkpoint that reverts newer records.
#[test]
fn lease_and_fences() {
    for case in lease_cases() {
        let records = records(case.bodies);
        let ledger = applied(&records);
        let row = ledger.state().lease.as_ref();
        let found = row.and_then(|row| {
            row.holder
                .as_ref()
                .map(|holder| (holder.clone(), row.fence))
        });
        let expected = case.holder.map(|(vm, fence)| (holder(vm), Fence(fence)));
        assert_eq!(found, expected, "{}", case.name);
        let rollout = ledger.state().rollouts.get(ROLLOUT);
        assert_eq!(
            rollout.and_then(|row| row.progress.step()),
            case.step,
            "{}",
            case.name
        );
        assert_eq!(
            rollout.map_or(0, quetzalworks::ledger::RolloutRow::granted),
            case.granted,
            "{}",
            case.name
        );
        assert_checkpoints_agree(case.name, &records);
    }
}

/// Guards against ratings of an earlier step that count for the next one.
#[test]
fn evidence_of_an_earlier_step_is_ignored() {
    struct Case {
        step: u32,
        weight: f64,
    }
    let evidence = |step| {
        let mut ratings = Estimate::default();
        ratings.add(Quality::clamped(0.9));
        Body::Estimates {
            fence: Fence(0),
            evidence: Offset(3),
            cells: Vec::new(),
            steps: vec![StepEvidence {
                rollout: ROLLOUT.into(),
                step,
                ratings,
            }],
        }
    };
    for case in [
        Case {
            step: 0,
            weight: 0.0,
        },
        Case {
            step: 1,
            weight: 1.0,
        },
    ] {
        let bodies = vec![
            claim("a", None),
            start(0),
            step(0, RolloutTransition::Step(0)),
            step(0, RolloutTransition::Step(1)),
            evidence(case.step),
        ];
        let ledger = applied(&records(bodies));
        let weight = ledger.state().rollouts[ROLLOUT].ratings.weight;
        assert!(
            (weight - case.weight).abs() < f64::EPSILON,
            "step {}",
            case.step
        );
    }
}

/// Guards against exceeding the profile's limit on answers of a version in rollout,
/// in any sequence of holders, entries and restarts.
#[test]
fn grants_stay_within_the_limit() {
    for case in 0..64_u64 {
        arbtest::arbtest(apply_random_grants).seed((case << 32) | 2_048);
    }
}

fn apply_random_grants(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let mut all = records(vec![
        claim("a", None),
        start(0),
        step(0, RolloutTransition::Step(0)),
    ]);
    let mut ledger = applied(&all);
    let mut stale = ledger.clone();
    for _ in 0..u.int_in_range(1..=30_u8)? {
        let mut live = Vec::new();
        for i in 0..u.int_in_range(0..=6_u8)? {
            let vm = format!("entry-{i}").parse().unwrap();
            live.push((
                vm,
                Incarnation(u.int_in_range(1..=3)?),
                u.int_in_range(0..=BOUND)?,
            ));
        }
        // A writer that has not seen the last grants divides by an outdated state.
        let view = if u.arbitrary()? { &ledger } else { &stale };
        let grants = rollout::divide(&view.state().rollouts[ROLLOUT], BOUND, &live);
        stale = ledger.clone();
        let body = Body::Allotment {
            fence: Fence(0),
            rollout: ROLLOUT.into(),
            step: 0,
            bound: BOUND,
            grants,
        };
        let offset = ledger.next_offset();
        let entry = Some(Message {
            id: ChangeId(u128::from(offset.0)),
            body,
        });
        let record = Record { offset, entry };
        ledger.apply(&record);
        all.push(record);
        assert!(ledger.state().rollouts[ROLLOUT].granted() <= BOUND);
    }
    assert_checkpoints_agree("grants", &all);
    Ok(())
}
