//! Gate and queue together.

use std::time::{Duration, Instant};

use quetzalworks::admission::{Arrival, Ask, Call, Controller, Outcome, Permit};
use quetzalworks::attempt::Priority;

use crate::admission::{INTERVAL, LIMITS};

/// Guards against a suspect that shares the endpoint, and against one that starves.
#[test]
fn suspects_run_alone() {
    let now = Instant::now();
    let mut adm = Controller::new(LIMITS, 4);
    let normal = Ask {
        priority: Priority::Normal,
        deadline: now + INTERVAL,
        alone: false,
    };
    let suspect = Ask {
        alone: true,
        ..normal
    };
    let (Arrival::Enter(first), _) = adm.arrive(normal, "first", now) else {
        panic!("not let in");
    };
    assert!(matches!(
        adm.arrive(suspect, "suspect", now).0,
        Arrival::Wait(_)
    ));
    assert!(matches!(
        adm.arrive(normal, "behind", now).0,
        Arrival::Wait(_)
    ));
    assert!(adm.calls(now).is_empty(), "the endpoint is not idle");
    adm.leave(first, Outcome::Success, now);
    let mut calls = adm.calls(now);
    let Some(Call::Start("suspect", permit)) = calls.pop() else {
        panic!("the suspect does not start");
    };
    assert!(calls.is_empty() && adm.calls(now).is_empty(), "not alone");
    adm.leave(permit, Outcome::Success, now);
    assert!(matches!(adm.calls(now)[..], [Call::Start("behind", _)]));
}

/// Guards against more running requests than the limit in force when they were let in.
#[test]
fn running_never_exceeds_the_limit() {
    arbtest::arbtest(|u| {
        let start = Instant::now();
        let mut now = start;
        let mut adm = Controller::new(LIMITS, 3);
        let mut running: Vec<Permit> = Vec::new();
        let mut boot = 0_u32;
        for _ in 0..u.int_in_range(1..=80)? {
            now += Duration::from_millis(u.int_in_range(0..=1_500)?);
            let before = running.len();
            match u.int_in_range(0..=5)? {
                0..=1 => {
                    let deadline = now + Duration::from_secs(u.int_in_range(0..=20)?);
                    let ask = Ask {
                        priority: Priority::Normal,
                        deadline,
                        alone: u.ratio(1, 8)?,
                    };
                    if let (Arrival::Enter(permit), _) = adm.arrive(ask, (), now) {
                        running.push(permit);
                    }
                }
                2..=3 if !running.is_empty() => {
                    let permit = running.swap_remove(u.choose_index(running.len())?);
                    let outcome =
                        *u.choose(&[Outcome::Success, Outcome::Success, Outcome::Error])?;
                    adm.leave(permit, outcome, now);
                }
                4 => {
                    boot += u32::from(u.ratio(1, 4)?);
                    adm.gate_mut().saw_boot(&boot.to_string().into(), now);
                }
                _ => {
                    for call in adm.calls(now) {
                        if let Call::Start((), permit) = call {
                            running.push(permit);
                        }
                    }
                }
            }
            assert_eq!(adm.gate().running() as usize, running.len());
            assert!(running.len() <= before || running.len() <= adm.gate().limit() as usize);
        }
        Ok(())
    })
    .seed(0x5eed_0010_0000_0200)
    .run();
}
