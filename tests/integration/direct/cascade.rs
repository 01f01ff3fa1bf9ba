//! Escalation of answers in a cascade, and the queue rank of larger models.

use std::time::Duration;

use quetzalworks::balance::Pressure;
use quetzalworks::cascade::{Cascade, Decision};
use quetzalworks::ids::ModelName;

const OBJECTIVE: Duration = Duration::from_secs(1);

fn pressure(first: Duration) -> Pressure {
    let mut pressure = Pressure::default();
    for _ in 0..500 {
        pressure.add(first, OBJECTIVE);
    }
    pressure
}

/// Guards against returning answers of low confidence although there is capacity,
/// and against escalations that take capacity from callers whose answers are late.
#[test]
fn escalation_needs_low_confidence_and_capacity() {
    struct Case {
        name: &'static str,
        index: usize,
        confidence: Option<f64>,
        first: Duration,
        step: Decision,
    }
    let idle = Duration::from_millis(200);
    let busy = Duration::from_millis(800);
    let late = Duration::from_secs(2);
    let cases = [
        Case {
            name: "high confidence",
            index: 0,
            confidence: Some(0.9),
            first: idle,
            step: Decision::Keep,
        },
        Case {
            name: "low confidence",
            index: 0,
            confidence: Some(0.4),
            first: idle,
            step: Decision::Escalate(2),
        },
        Case {
            name: "no confidence stated",
            index: 0,
            confidence: None,
            first: idle,
            step: Decision::Keep,
        },
        Case {
            name: "the largest model",
            index: 2,
            confidence: Some(0.0),
            first: idle,
            step: Decision::Keep,
        },
        Case {
            name: "low confidence, busy",
            index: 0,
            confidence: Some(0.4),
            first: busy,
            step: Decision::Keep,
        },
        Case {
            name: "very low confidence, busy",
            index: 0,
            confidence: Some(0.1),
            first: busy,
            step: Decision::Escalate(2),
        },
        Case {
            name: "no confidence, late",
            index: 0,
            confidence: Some(0.0),
            first: late,
            step: Decision::Keep,
        },
    ];
    let models: Vec<ModelName> = ["s", "m", "l"]
        .iter()
        .map(|name| name.parse().unwrap())
        .collect();
    for case in cases {
        let ladder = Cascade::new(&models);
        let step = ladder.evaluate(case.index, case.confidence, pressure(case.first));
        assert_eq!(step, case.step, "{}", case.name);
    }
}

/// Guards against attempts of the smallest model that queue behind those of larger
/// ones, against losing the priority, and against a resumed stream that is delayed.
#[test]
fn a_larger_model_is_queued_behind_first_attempts() {
    struct Case {
        name: &'static str,
        index: usize,
        priority: u8,
        resumes: bool,
        rank: u8,
    }
    let case = |name, index, priority, resumes, rank| Case {
        name,
        index,
        priority,
        resumes,
        rank,
    };
    let cases = [
        case("first attempt", 0, 0, false, 0),
        case("first attempt, lower priority", 0, 2, false, 2),
        case("larger model", 2, 0, false, 3),
        case("larger model, lower priority", 1, 2, false, 5),
        case("resumed stream", 2, 1, true, 1),
        case("lowest priority", 2, 9, false, 9),
    ];
    for case in cases {
        let rank = Cascade::queue_rank(case.index, case.priority, case.resumes);
        assert_eq!(rank, case.rank, "{}", case.name);
    }
}
