//! Replays of requests at endpoints of different and changing speed, on simulated time.

// Simulated times and counts are far below the limits of their types.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, StatusCode};
use quetzalworks::balance::{EndpointSpeed, Permit, ReportedLoad, WorkTime, choose};
use quetzalworks::direct::EndpointView;
use quetzalworks::ids::Fingerprint;
use quetzalworks::platform::headers;
use quetzalworks::runtime::Moment;

use crate::direct::balance::{NOW, endpoint, query};

const SEEDS: std::ops::Range<u64> = 0..8;
const ARRIVALS: u64 = 6_000;
/// Least share of answers within the objective, in percent.
const MIN_IN_TIME: f64 = 98.0;
/// Most work at one endpoint, as a multiple of the mean.
const MAX_BUSIEST: f64 = 2.0;

/// A service of which every entry sees only the reports in its own answers.
struct Case {
    name: &'static str,
    entries: usize,
    /// Work time of each endpoint for good, in percent of the usual.
    endpoints: &'static [u32],
    slots: u32,
    work_ms: f64,
    arrivals_per_s: f64,
    /// How long an endpoint keeps its pace; in 15 of 100 such times it is 2.5 times slower.
    pace_ms: u64,
    objective_ms: u64,
}

/// Work time of an endpoint at a moment, in percent of the usual one of the service.
fn work_time(case: &Case, seed: u64, endpoint: usize, at_ms: f64) -> u32 {
    let step = at_ms as u64 / case.pace_ms;
    let mix = seed ^ (step << 16) ^ ((endpoint as u64) << 48);
    let is_slowed = fastrand::Rng::with_seed(mix).f64() < 0.15;
    case.endpoints[endpoint] * if is_slowed { 250 } else { 100 } / 100
}

/// An endpoint that runs requests in the order of their arrival.
#[derive(Default)]
struct Server {
    /// Begin and end of each request, in milliseconds.
    runs: Vec<(f64, f64)>,
    requests: u64,
}

impl Server {
    /// Adds a request and returns when it begins.
    fn begin(&mut self, now: f64, slots: u32) -> f64 {
        self.runs.retain(|(_, end)| *end > now);
        self.requests += 1;
        let mut ends: Vec<_> = self.runs.iter().map(|(_, end)| *end).collect();
        ends.sort_by(f64::total_cmp);
        let busy = ends.len().saturating_sub(slots as usize - 1);
        busy.checked_sub(1).map_or(now, |last| ends[last].max(now))
    }

    fn report(&self, now: f64, slots: u32, work_time: u32) -> ReportedLoad {
        let open = self.runs.iter().filter(|(_, end)| *end > now);
        let (running, waiting): (Vec<&(f64, f64)>, Vec<_>) =
            open.partition(|(begin, _)| *begin <= now);
        ReportedLoad {
            running: running.len().try_into().unwrap(),
            waiting: waiting.len().try_into().unwrap(),
            slots: Some(slots),
            work_time: Some(work_time.to_string().parse().unwrap()),
        }
    }
}

/// A request on its way.
struct Running {
    entry: usize,
    endpoint: usize,
    sent: f64,
    permit: Permit,
}

/// Returns the share of answers in time in percent, and the work at the busiest endpoint
/// against the mean.
fn replay(case: &Case, seed: u64) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let names: Vec<_> = (0..case.endpoints.len()).map(|i| format!("e{i}")).collect();
    let new_entry =
        || -> Vec<Arc<EndpointView>> { names.iter().map(|name| endpoint(name, "north")).collect() };
    let entries: Vec<_> = (0..case.entries).map(|_| new_entry()).collect();
    let mut servers: Vec<Server> = names.iter().map(|_| Server::default()).collect();
    let domain = "north".parse().unwrap();
    let mut running: Vec<Option<Running>> = Vec::new();
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let at = |ms: f64| Moment::from_millis(NOW + ms as u64);
    let (mut now, mut in_time) = (0.0, 0_u64);
    for arrival in 0..ARRIVALS {
        now += -rng.f64().max(1e-9).ln() * 1_000.0 / case.arrivals_per_s;
        while let Some(Reverse((end_us, index))) = ends.peek().copied() {
            let end = end_us as f64 / 1_000.0;
            if end > now {
                break;
            }
            ends.pop();
            let mut done = running[index].take().unwrap();
            let work_time = work_time(case, seed, done.endpoint, end);
            let report = servers[done.endpoint].report(end, case.slots, work_time);
            let live = &entries[done.entry][done.endpoint].live;
            let took = Duration::from_secs_f64((end - done.sent) / 1_000.0);
            live.record_activity(at(end));
            live.record_load(report, at(end));
            done.permit.record_first_byte();
            live.record_success(took, Duration::ZERO, at(end));
            in_time += u64::from(took.as_millis() <= u128::from(case.objective_ms));
        }
        let entry = rng.usize(..case.entries);
        let mut ask = query(&domain, None, NOW + now as u64);
        ask.spread = Fingerprint(rng.u64(..));
        let choice = choose(&entries[entry], &ask).unwrap();
        let id = choice.endpoint.record.id.as_str();
        let index = names.iter().position(|name| name == id).unwrap();
        let begin = servers[index].begin(now, case.slots);
        let factor = f64::from(work_time(case, seed, index, begin)) / 100.0;
        let end = begin + case.work_ms * factor * (0.5 + rng.f64());
        servers[index].runs.push((begin, end));
        let permit = choice.endpoint.live.begin(Duration::ZERO, at(now));
        running.push(Some(Running {
            entry,
            endpoint: index,
            sent: now,
            permit,
        }));
        ends.push(Reverse(((end * 1_000.0) as u64, arrival as usize)));
    }
    let ended = ARRIVALS - ends.len() as u64;
    let work = |(server, speed): (&Server, &u32)| server.requests * u64::from(*speed);
    let works: Vec<_> = servers.iter().zip(case.endpoints).map(work).collect();
    let mean = works.iter().sum::<u64>() as f64 / works.len() as f64;
    let busiest = works.into_iter().max().unwrap() as f64;
    (in_time as f64 / ended as f64 * 100.0, busiest / mean)
}

/// Guards against requests that go to an endpoint that is slow at this moment or for good,
/// and against entries that all run to the one which their old reports show as idle.
#[test]
fn requests_go_where_they_end_first() {
    let cases = [
        Case {
            name: "three endpoints, slowed for moments",
            entries: 5,
            endpoints: &[100, 100, 100],
            slots: 6,
            work_ms: 60.0,
            arrivals_per_s: 80.0,
            pace_ms: 1_000,
            objective_ms: 150,
        },
        Case {
            name: "nearly all slots in use",
            entries: 20,
            endpoints: &[100, 100, 100],
            slots: 6,
            work_ms: 60.0,
            arrivals_per_s: 190.0,
            pace_ms: 500,
            objective_ms: 300,
        },
        Case {
            name: "fast and slow ones for good",
            entries: 20,
            endpoints: &[60, 80, 100, 100, 140, 200],
            slots: 6,
            work_ms: 60.0,
            arrivals_per_s: 300.0,
            pace_ms: 500,
            objective_ms: 200,
        },
    ];
    for case in &cases {
        let mut shares = Vec::new();
        for seed in SEEDS {
            let (in_time, busiest) = replay(case, seed);
            assert!(busiest <= MAX_BUSIEST, "{}, {seed}: {busiest}", case.name);
            shares.push(in_time);
        }
        let in_time = shares.iter().sum::<f64>() / shares.len() as f64;
        assert!(in_time >= MIN_IN_TIME, "{}: {in_time}", case.name);
    }
}

/// Statements of an endpoint of usual speed, and of a fast one; both are slowed at the end.
const SLOW: &[&str] = &["100", "100", "100", "250"];
const FAST: &[&str] = &["60", "60", "60", "60", "150"];

/// Guards against a statement that outlasts the moment, and against one endpoint's own speed
/// that is forgotten with it.
#[test]
fn an_old_statement_drifts_to_the_usual_speed() {
    struct Case {
        name: &'static str,
        stated: &'static [&'static str],
        later_ms: u64,
        expected: std::ops::Range<f64>,
    }
    let case = |name, stated, later_ms, expected| Case {
        name,
        stated,
        later_ms,
        expected,
    };
    let cases = [
        case("of this moment", SLOW, 0, 2.4..2.6),
        case("a moment ago", SLOW, 500, 1.4..2.0),
        case("long ago", SLOW, 10_000, 0.9..1.2),
        case("fast for good, slowed", FAST, 0, 1.4..1.6),
        case("fast for good, long ago", FAST, 10_000, 0.5..0.8),
    ];
    for case in cases {
        let now = Moment::from_millis(NOW);
        let mut stated = case.stated.iter().map(|text| text.parse().unwrap());
        let mut speed = EndpointSpeed::new(stated.next().unwrap(), now);
        stated.for_each(|stated| speed.state(stated, now));
        let pace = speed.pace(Moment::from_millis(NOW + case.later_ms));
        assert!(case.expected.contains(&pace), "{}: {pace}", case.name);
    }
}

/// Guards against a reported figure that is dropped, and against a malformed one that takes
/// the others with it.
#[test]
fn reported_loads_are_decoded() {
    struct Case {
        header: &'static str,
        load: Option<(u32, u32)>,
        slots: Option<u32>,
        work_time: Option<f64>,
    }
    let case = |header, load, slots, work_time| Case {
        header,
        load,
        slots,
        work_time,
    };
    let cases = [
        case("3,1,8,250", Some((3, 1)), Some(8), Some(2.5)),
        case("3, 1, 8, 62.5", Some((3, 1)), Some(8), Some(0.625)),
        case("3,1,8", Some((3, 1)), Some(8), None),
        case("3,1", Some((3, 1)), None, None),
        case("3,1,8,0", Some((3, 1)), Some(8), None),
        case("3,1,8,NaN", Some((3, 1)), Some(8), None),
        case("3,1,many,100", Some((3, 1)), None, Some(1.0)),
        case("3", None, None, None),
        case("none,1,8,100", None, None, None),
    ];
    for case in cases {
        let headers = [("server-load".parse().unwrap(), case.header.parse().unwrap())];
        let headers: HeaderMap = headers.into_iter().collect();
        let load = headers::decode_answer(StatusCode::OK, &headers).load;
        let name = case.header;
        assert_eq!(load.map(|l| (l.running, l.waiting)), case.load, "{name}");
        assert_eq!(load.and_then(|l| l.slots), case.slots, "{name}");
        let factor = load.and_then(|l| l.work_time).map(WorkTime::factor);
        assert_eq!(factor, case.work_time, "{name}");
    }
}

/// Guards against an estimate of the answer's length above what the caller allows.
#[test]
fn expected_lengths_are_decoded() {
    struct Case {
        count: &'static str,
        hint: &'static str,
        output: Option<u64>,
    }
    let case = |count, hint, output| Case {
        count,
        hint,
        output,
    };
    let cases = [
        case("1460,80", "25", Some(25)),
        case("1460,80", "700", Some(80)),
        case("1460,80", "many", Some(80)),
        case("1460", "25", Some(25)),
        case("none", "none", None),
    ];
    for case in cases {
        let headers: HeaderMap = [("token-count", case.count), ("length-hint", case.hint)]
            .map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap()))
            .into_iter()
            .collect();
        let output = headers::decode_request(&headers).output.map(|it| it.0);
        assert_eq!(output, case.output, "{} {}", case.count, case.hint);
    }
}
