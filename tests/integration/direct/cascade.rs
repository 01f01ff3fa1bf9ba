//! Escalation of answers in a cascade, and the queue rank of larger models.

use std::time::Duration;

use quetzalworks::balance::{Pressure, WritingSpeed};
use quetzalworks::cascade::{Cascade, Decision, Forecast, standby_time};
use quetzalworks::ids::ModelName;
use quetzalworks::runtime::Moment;

const OBJECTIVE: Duration = Duration::from_secs(1);

fn pressure(first: Duration) -> Pressure {
    let mut pressure = Pressure::default();
    for at in 0..500 {
        pressure.add(first, OBJECTIVE, Moment::from_millis(at * 10));
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
        let forecast = Forecast {
            begin: Duration::from_millis(100),
            end: Duration::from_millis(100),
            objective: OBJECTIVE,
            time_limit: 5 * OBJECTIVE,
            pressure: pressure(case.first),
            priority: 0,
        };
        let step = ladder.evaluate(case.index, case.confidence, &forecast);
        assert_eq!(step, case.step, "{}", case.name);
    }
}

/// Guards against a run of the largest model whose answer would come too late, and
/// against less urgent runs that take the engines from more urgent ones.
#[test]
fn escalation_needs_time_and_urgency() {
    struct Case {
        name: &'static str,
        begin_ms: u64,
        end_ms: u64,
        load_ms: u64,
        priority: u8,
        step: Decision,
    }
    let case = |name, (begin_ms, end_ms), load_ms, priority, step| Case {
        name,
        begin_ms,
        end_ms,
        load_ms,
        priority,
        step,
    };
    let cases = [
        case("in time", (800, 800), 200, 0, Decision::Escalate(1)),
        case(
            "after the objective",
            (1_400, 1_400),
            200,
            0,
            Decision::Keep,
        ),
        case("loaded, urgent", (300, 300), 550, 0, Decision::Escalate(1)),
        case("loaded, less urgent", (300, 300), 550, 2, Decision::Keep),
        case("a long answer", (300, 3_900), 200, 0, Decision::Escalate(1)),
        case(
            "ends long after the limit",
            (300, 20_000),
            200,
            0,
            Decision::Keep,
        ),
    ];
    let models: Vec<ModelName> = ["s", "l"].map(|name| name.parse().unwrap()).into();
    for case in cases {
        let forecast = Forecast {
            begin: Duration::from_millis(case.begin_ms),
            end: Duration::from_millis(case.end_ms),
            objective: OBJECTIVE,
            time_limit: 5 * OBJECTIVE,
            pressure: pressure(Duration::from_millis(case.load_ms)),
            priority: case.priority,
        };
        let step = Cascade::new(&models).evaluate(0, Some(0.2), &forecast);
        assert_eq!(step, case.step, "{}", case.name);
    }
}

/// Guards against answers of models too small for seconds after an overload is over.
#[test]
fn escalation_returns_after_an_overload() {
    struct Case {
        name: &'static str,
        /// Time between two answers of the service at this entry.
        gap_ms: u64,
    }
    let case = |name, gap_ms| Case { name, gap_ms };
    let cases = [
        case("a busy entry", 50),
        case("one entry of twenty", 250),
        case("one entry of many", 500),
    ];
    let models: Vec<ModelName> = ["s", "l"].map(|name| name.parse().unwrap()).into();
    for case in cases {
        let mut pressure = Pressure::default();
        let mut at = 0;
        let mut answers = |first_ms, period_ms| {
            let end = at + period_ms;
            while at < end {
                at += case.gap_ms;
                let first = Duration::from_millis(first_ms);
                pressure.add(first, OBJECTIVE, Moment::from_millis(at));
            }
            let forecast = Forecast {
                begin: Duration::from_millis(300),
                end: Duration::from_millis(300),
                objective: OBJECTIVE,
                time_limit: 5 * OBJECTIVE,
                pressure,
                priority: 1,
            };
            Cascade::new(&models).evaluate(0, Some(0.4), &forecast)
        };
        let name = case.name;
        assert_eq!(answers(2_000, 10_000), Decision::Keep, "{name}: overload");
        assert_eq!(answers(100, 4_000), Decision::Escalate(1), "{name}: over");
    }
}

/// Guards against a writing speed that is that of the fast streams alone, as they have most
/// of the events.
#[test]
fn each_stream_counts_alike_in_the_writing_speed() {
    struct Case {
        name: &'static str,
        /// Gap between events of each stream that runs at the same time.
        gaps_ms: &'static [u64],
        expected_ms: std::ops::Range<u128>,
    }
    let case = |name, gaps_ms, expected_ms| Case {
        name,
        gaps_ms,
        expected_ms,
    };
    let cases = [
        case("alike", &[50, 50], 49..51),
        case("a slow one and a fast one", &[40, 400], 190..250),
        case("one of four is slow", &[40, 40, 40, 400], 110..150),
    ];
    for case in cases {
        let mut speed = WritingSpeed::default();
        for at in 1..=60_000 {
            let ends = case.gaps_ms.iter().filter(|gap| at % **gap == 0);
            ends.for_each(|gap| speed.record_gap(Duration::from_millis(*gap)));
        }
        let gap = speed.gap().unwrap().as_millis();
        assert!(case.expected_ms.contains(&gap), "{}: {gap} ms", case.name);
    }
}

/// Guards against an answer that is ready and not delivered because a larger model is late.
#[test]
fn an_answer_is_held_back_by_its_confidence() {
    struct Case {
        name: &'static str,
        confidence: f64,
        writing_ms: u64,
        held_ms: std::ops::Range<u128>,
    }
    let cases = [
        Case {
            name: "of some confidence: in time",
            confidence: 0.4,
            writing_ms: 0,
            held_ms: 500..1_000,
        },
        Case {
            name: "of none: while the better one may still be complete",
            confidence: 0.1,
            writing_ms: 0,
            held_ms: 1_000..5_000,
        },
        Case {
            name: "of none, but the better one is long: while it may still be complete",
            confidence: 0.1,
            writing_ms: 6_000,
            held_ms: 1_000..2_001,
        },
        Case {
            name: "the better one can't be complete at all",
            confidence: 0.1,
            writing_ms: 12_000,
            held_ms: 0..1,
        },
    ];
    let limit = Duration::from_secs(5);
    for case in cases {
        let writing = Duration::from_millis(case.writing_ms);
        let held = standby_time(case.confidence, OBJECTIVE, limit, writing).as_millis();
        assert!(case.held_ms.contains(&held), "{}: {held} ms", case.name);
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
