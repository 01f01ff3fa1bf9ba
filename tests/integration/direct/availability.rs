//! Endpoints that say in their answers that they leave or want a pause.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

use hyper::Method;
use quetzalworks::balance::{Admission, Answer, AnyPace, Bounds, Hold, Observed};
use quetzalworks::runtime::Moment;
use quetzalworks::units::Share;

use crate::direct::endpoint::{Behaviour, Endpoint, Received};
use crate::direct::site::{Site, put_endpoint};
use crate::testing::wait;

static BOUNDS: LazyLock<Bounds> = LazyLock::new(|| Bounds {
    slots: 8,
    share: Share::clamped(1.0),
});

enum Step {
    Leave,
    /// Asks for a pause until this time in ms.
    Pause(u64),
    /// So many answers begin in the usual time, at this time in ms.
    Answers(u32, u64),
}

/// Guards against requests to an endpoint that wants none, and against all waiting
/// requests at once when its pause ends.
#[test]
fn what_an_endpoint_says_decides_whether_it_gets_requests() {
    use Step::{Answers, Leave, Pause};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        at_ms: u64,
        waiting: u32,
        admission: Admission,
    }
    let paused = |ms| Admission::Closed(Hold::Paused(Moment::from_millis(ms)));
    let rising = |ms| Admission::Closed(Hold::Rising(Moment::from_millis(ms)));
    let left = Admission::Closed(Hold::Leaving);
    let open = Admission::Open;
    let case = |name, steps, at_ms, waiting, admission| Case {
        name,
        steps,
        at_ms,
        waiting,
        admission,
    };
    let cases = [
        case("open", &[], 0, 100, open),
        case("leaving", &[Leave], 99_000, 0, left),
        case("in a pause", &[Pause(2_000)], 1_999, 0, paused(2_000)),
        case("first after it", &[Pause(2_000)], 2_000, 0, open),
        case("second after it", &[Pause(2_000)], 2_000, 1, rising(2_100)),
        case(
            "second much later, without an answer",
            &[Pause(2_000)],
            60_000,
            1,
            rising(60_100),
        ),
        case(
            "half of its slots after as many answers",
            &[Pause(2_000), Answers(3, 2_100)],
            2_200,
            3,
            open,
        ),
        case(
            "over half of them",
            &[Pause(2_000), Answers(3, 2_100)],
            2_200,
            4,
            rising(2_225),
        ),
        case("back", &[Pause(2_000), Answers(7, 2_100)], 2_200, 100, open),
        case(
            "answers from before the pause",
            &[Pause(2_000), Answers(7, 1_000)],
            2_000,
            1,
            rising(2_100),
        ),
        case(
            "longer",
            &[Pause(2_000), Pause(5_000)],
            4_000,
            0,
            paused(5_000),
        ),
        case(
            "not shorter",
            &[Pause(5_000), Pause(2_000)],
            4_000,
            0,
            paused(5_000),
        ),
        case("leaves in a pause", &[Pause(2_000), Leave], 9_000, 0, left),
        case(
            "leaves on its way back",
            &[Pause(2_000), Answers(1, 2_100), Leave],
            9_000,
            0,
            left,
        ),
        case("no pause ends leaving", &[Leave, Pause(1)], 9_000, 0, left),
    ];
    for case in cases {
        let now = Moment::from_millis(case.at_ms);
        let admission = pace_after(case.steps, now).admission(&observed(case.waiting), now);
        assert_eq!(admission, case.admission, "{}", case.name);
    }
}

const fn observed(waiting: u32) -> Observed {
    Observed {
        waiting,
        is_silent: false,
        usual: Some(Duration::from_millis(100)),
    }
}

fn pace_after(steps: &[Step], now: Moment) -> AnyPace {
    let answer = Answer {
        wait: Duration::from_millis(100),
        load: None,
    };
    let pace = steps
        .iter()
        .fold(AnyPace::default(), |pace, step| match step {
            Step::Leave => pace.leave(),
            Step::Pause(until) => pace.pause(Moment::from_millis(*until)),
            Step::Answers(count, at) => (0..*count).fold(pace, |pace, _| {
                let pace = pace.advance(&BOUNDS, &observed(0), Moment::from_millis(*at));
                pace.answer(&answer, &BOUNDS, &observed(0)).0
            }),
        });
    // The endpoint is asked as soon as it may be again, with nothing in hand.
    pace.advance(&BOUNDS, &observed(0), now)
}

fn look(site: &Site, id: &str) -> u16 {
    let answer = site.call(&Method::GET, "/look/a", id);
    answer.map_or(0, |answer| answer.status)
}

/// Guards against a request to an endpoint that has said it leaves, while its record says
/// otherwise and connections to it are open.
#[test]
fn an_endpoint_that_leaves_gets_no_further_request() {
    let leaving = Endpoint::spawn("a", &[], Behaviour::Leaves("bye"));
    let site = Site::spawn(&[("desk", &leaving)]);
    assert_eq!(look(&site, "id-0"), 200);
    let other = Endpoint::spawn("b", &[], Behaviour::Answer(200, "good"));
    put_endpoint(&site.store, "desk", &other, 1);
    // A later record of the same incarnation does not bring it back.
    put_endpoint(&site.store, "desk", &leaving, 2);
    wait::until("the other endpoint answers", || look(&site, "id-1") == 200);
    for i in 0..20 {
        assert_eq!(look(&site, &format!("id-2-{i}")), 200);
    }
    assert_eq!(leaving.received().len(), 1);
    wait::until("the log tells why", || {
        !site.process.lines_with("endpoint is leaving").is_empty()
    });
    wait::until("the log tells the pace", || {
        let lines = site.process.lines_with("endpoint pace changed");
        lines.iter().any(|line| line.contains(r#""to":"leaving""#))
    });
}

/// Guards against requests within the pause that an endpoint has asked for, against a
/// refusal without the time of its end, and against an endpoint that is forgotten after it.
#[test]
fn a_pause_holds_for_its_time() {
    struct Case {
        name: &'static str,
        pause: &'static str,
        held: Duration,
        /// Whether another endpoint serves the requests meanwhile.
        has_other: bool,
    }
    let cases = [
        Case {
            name: "one of two endpoints",
            pause: "1.5",
            held: Duration::from_millis(1_400),
            has_other: true,
        },
        Case {
            name: "all endpoints",
            pause: "1.5",
            held: Duration::from_millis(1_400),
            has_other: false,
        },
        Case {
            name: "no number",
            pause: "later",
            held: Duration::ZERO,
            has_other: true,
        },
        Case {
            name: "negative",
            pause: "-7",
            held: Duration::ZERO,
            has_other: true,
        },
    ];
    for case in cases {
        let script = [Behaviour::Pause(case.pause)];
        let paused = Endpoint::spawn("a", &script, Behaviour::Answer(200, "good"));
        let site = Site::spawn(&[("desk", &paused)]);
        let refused = site.call(&Method::GET, "/look/a", "id-0").unwrap();
        let since = Instant::now();
        assert_eq!(refused.status, 503, "{}", case.name);
        if case.has_other {
            let other = Endpoint::spawn("b", &[], Behaviour::Answer(200, "good"));
            put_endpoint(&site.store, "desk", &other, 1);
            wait::until("the other endpoint answers", || look(&site, "id-1") == 200);
        }
        let mut i = 0;
        while since.elapsed() < case.held {
            let answer = site
                .call(&Method::GET, "/look/a", &format!("id-2-{i}"))
                .unwrap();
            // The last one may have waited for the end of the pause.
            let received = paused.received();
            let (first, later) = received.split_first().unwrap();
            let is_served = case.has_other || !later.is_empty();
            assert_eq!(answer.status == 200, is_served, "{}", case.name);
            let held = |other: &Received| other.at.duration_since(first.at) >= case.held;
            assert!(later.iter().all(held), "{}", case.name);
            i += 1;
        }
        if !case.has_other {
            wait::until("the endpoint is used again", || look(&site, "id-3") == 200);
        }
    }
}
