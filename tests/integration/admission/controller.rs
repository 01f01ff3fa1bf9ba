//! Gate and queue of an endpoint together.

use std::time::{Duration, Instant};

use quetzalworks::admission::{
    AdmissionRequest, ArrivalDecision, Controller, Outcome, Permit, QueueDecision,
};
use quetzalworks::attempt::Priority;

use crate::admission::{INTERVAL, LIMITS};

/// Guards against a suspect that shares the endpoint with other requests, and against one
/// that starves behind them.
#[test]
fn suspects_run_alone() {
    let now = Instant::now();
    let mut controller = Controller::new(LIMITS, 4);
    let normal = AdmissionRequest {
        priority: Priority::Normal,
        deadline: now + INTERVAL,
        exclusive: false,
    };
    let suspect = AdmissionRequest {
        exclusive: true,
        ..normal
    };
    let (ArrivalDecision::Admit(first), _) = controller.submit(normal, "first", now) else {
        panic!("not admitted");
    };
    assert!(matches!(
        controller.submit(suspect, "suspect", now).0,
        ArrivalDecision::Wait(_)
    ));
    assert!(matches!(
        controller.submit(normal, "behind", now).0,
        ArrivalDecision::Wait(_)
    ));
    assert!(
        controller.take_decisions(now).is_empty(),
        "the endpoint is not idle"
    );
    controller.release(first, Outcome::Success, now);
    let mut decisions = controller.take_decisions(now);
    let Some(QueueDecision::Start("suspect", permit)) = decisions.pop() else {
        panic!("the suspect does not start");
    };
    assert!(
        decisions.is_empty() && controller.take_decisions(now).is_empty(),
        "the suspect does not run alone"
    );
    controller.release(permit, Outcome::Success, now);
    assert!(matches!(
        controller.take_decisions(now)[..],
        [QueueDecision::Start("behind", _)]
    ));
}

/// Guards against more running requests than the limit in force when they were admitted.
#[test]
fn running_never_exceeds_the_limit() {
    arbtest::arbtest(|u| {
        let start = Instant::now();
        let mut now = start;
        let mut controller = Controller::new(LIMITS, 3);
        let mut running: Vec<Permit> = Vec::new();
        let mut boot_id = 0_u32;
        for _ in 0..u.int_in_range(1..=80)? {
            now += Duration::from_millis(u.int_in_range(0..=1_500)?);
            let before = running.len();
            match u.int_in_range(0..=5)? {
                0..=1 => {
                    let deadline = now + Duration::from_secs(u.int_in_range(0..=20)?);
                    let request = AdmissionRequest {
                        priority: Priority::Normal,
                        deadline,
                        exclusive: u.ratio(1, 8)?,
                    };
                    if let (ArrivalDecision::Admit(permit), _) = controller.submit(request, (), now)
                    {
                        running.push(permit);
                    }
                }
                2..=3 if !running.is_empty() => {
                    let permit = running.swap_remove(u.choose_index(running.len())?);
                    let outcome =
                        *u.choose(&[Outcome::Success, Outcome::Success, Outcome::Error])?;
                    controller.release(permit, outcome, now);
                }
                4 => {
                    boot_id += u32::from(u.ratio(1, 4)?);
                    controller
                        .gate_mut()
                        .observe_boot_id(&boot_id.to_string().into(), now);
                }
                _ => {
                    for decision in controller.take_decisions(now) {
                        if let QueueDecision::Start((), permit) = decision {
                            running.push(permit);
                        }
                    }
                }
            }
            assert_eq!(controller.gate().running() as usize, running.len());
            assert!(running.len() <= before || running.len() <= controller.gate().limit() as usize);
        }
        Ok(())
    })
    .seed(0x5eed_0010_0000_0200)
    .run();
}
