//! Which answers of a smaller model are kept.

use std::time::Duration;

use quetzalworks::balance::Pressure;
use quetzalworks::cascade::{Ladder, Step};
use quetzalworks::ids::ModelName;

const OBJECTIVE: Duration = Duration::from_secs(1);

fn pressure(first: Duration) -> Pressure {
    let mut pressure = Pressure::default();
    for _ in 0..500 {
        pressure.add(first, OBJECTIVE);
    }
    pressure
}

/// Guards against answers that are not trusted on a calm day, and against
/// second runs that take the work which late callers wait for.
#[test]
fn a_second_run_needs_doubt_and_room() {
    struct Case {
        name: &'static str,
        index: usize,
        confidence: Option<f64>,
        first: Duration,
        step: Step,
    }
    let calm = Duration::from_millis(200);
    let busy = Duration::from_millis(800);
    let late = Duration::from_secs(2);
    let cases = [
        Case {
            name: "sure",
            index: 0,
            confidence: Some(0.9),
            first: calm,
            step: Step::Keep,
        },
        Case {
            name: "in doubt",
            index: 0,
            confidence: Some(0.4),
            first: calm,
            step: Step::Escalate(2),
        },
        Case {
            name: "no opinion",
            index: 0,
            confidence: None,
            first: calm,
            step: Step::Keep,
        },
        Case {
            name: "the largest",
            index: 2,
            confidence: Some(0.0),
            first: calm,
            step: Step::Keep,
        },
        Case {
            name: "in doubt, busy",
            index: 0,
            confidence: Some(0.4),
            first: busy,
            step: Step::Keep,
        },
        Case {
            name: "no trust, busy",
            index: 0,
            confidence: Some(0.1),
            first: busy,
            step: Step::Escalate(2),
        },
        Case {
            name: "no trust, late",
            index: 0,
            confidence: Some(0.0),
            first: late,
            step: Step::Keep,
        },
    ];
    let models: Vec<ModelName> = ["s", "m", "l"]
        .iter()
        .map(|name| name.parse().unwrap())
        .collect();
    for case in cases {
        let ladder = Ladder::new(&models);
        let step = ladder.judge(case.index, case.confidence, pressure(case.first));
        assert_eq!(step, case.step, "{}", case.name);
    }
}

/// Guards against short runs that wait for long ones, against a priority that
/// is lost, and against a stream that waits in its middle.
#[test]
fn a_larger_model_stands_behind_first_runs() {
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
        case("first run", 0, 0, false, 0),
        case("first run of a lower priority", 0, 2, false, 2),
        case("larger model", 2, 0, false, 3),
        case("larger model, lower priority", 1, 2, false, 5),
        case("stream that goes on", 2, 1, true, 1),
        case("lowest priority", 2, 9, false, 9),
    ];
    for case in cases {
        let rank = Ladder::rank(case.index, case.priority, case.resumes);
        assert_eq!(rank, case.rank, "{}", case.name);
    }
}
