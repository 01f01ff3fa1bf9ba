//! Replays of endpoints that start or recover, on simulated time without a network.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use quetzalworks::balance::{Admission, Bounds, Failure, Permit, Query, ReportedLoad, choose};
use quetzalworks::direct::EndpointView;
use quetzalworks::ids::DomainName;
use quetzalworks::runtime::Moment;
use quetzalworks::units::Share;

use crate::direct::balance::{NOW, UNLIMITED, endpoint, query};

const ENTRIES: usize = 8;
const ENDPOINTS: usize = 6;
/// Requests that an endpoint runs at once, and that it holds before it refuses.
const SLOTS: usize = 4;
const MAX_HELD: usize = 3 * SLOTS;
const WORK_MS: f64 = 100.0;
/// Time after which an entry gives an attempt up.
const PATIENCE_MS: u64 = 1_000;
/// Times at which the endpoints go down and return.
const DOWN_MS: u64 = 4_000;
const BACK_MS: u64 = 7_000;
/// Time within which the entries learn of a new incarnation, one after the other.
const LEARNING_MS: u64 = 2_400;
/// Window over which the load of an endpoint is taken, and the part of the usual load from
/// which on it is full.
const WINDOW_MS: u64 = 500;
const FULL_FRACTION: f64 = 0.7;

/// What an endpoint does with requests.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Down,
    /// Serves them so many times slower than usual.
    Serves(f64),
    /// Fails each at once.
    Fails,
}

struct Case {
    name: &'static str,
    seed: u64,
    endpoints: usize,
    /// The first so many go down.
    disturbed: usize,
    /// Whether they come back as new incarnations, known from the store.
    restarted: bool,
    /// Requests a second at all entries, before and after the return.
    rate: [u64; 2],
    /// Behaviour at a time after the return in ms.
    mode: fn(u64) -> Mode,
    end_ms: u64,
    /// Failed and refused attempts at the disturbed endpoints after the return, at most;
    /// `None` for no more than at the others, where there is too much work for all.
    max_failed: Option<usize>,
    /// Time from the return to the full load, at most; `None` if it is never reached.
    max_full_ms: Option<u64>,
}

fn warming(since: u64, warm_ms: u64) -> Mode {
    #[allow(clippy::cast_precision_loss)]
    let left = warm_ms.saturating_sub(since) as f64 / warm_ms as f64;
    Mode::Serves(4.0f64.mul_add(left, 1.0))
}

struct Job {
    view: Arc<EndpointView>,
    sent: u64,
    left: f64,
    permit: Permit,
}

#[derive(Default)]
struct Server {
    running: Vec<Job>,
    queue: VecDeque<Job>,
    /// Times at which requests arrived, and at which they were served.
    arrivals: Vec<u64>,
    served: Vec<u64>,
    /// Times at which attempts failed.
    failures: Vec<u64>,
    /// Requests that it held at most in the first second after the return.
    peak: usize,
}

impl Server {
    fn step(&mut self, mode: Mode, t: u64) {
        let slowdown = match mode {
            Mode::Serves(slowdown) => slowdown,
            Mode::Fails => return self.fail_all(Failure::Answered, t),
            Mode::Down => return self.fail_all(Failure::Broken, t),
        };
        if (BACK_MS..BACK_MS + 1_000).contains(&t) {
            self.peak = self.peak.max(self.running.len() + self.queue.len());
        }
        while self.running.len() + self.queue.len() > MAX_HELD {
            let refused = self.queue.pop_back().unwrap();
            self.fail(&refused, Failure::Refused, t);
        }
        let held = std::mem::take(&mut self.running).into_iter();
        let (kept, late): (Vec<_>, Vec<_>) = held
            .chain(self.queue.drain(..))
            .partition(|job| t - job.sent < PATIENCE_MS);
        for job in &late {
            self.fail(job, Failure::Silent, t);
        }
        for (i, mut job) in kept.into_iter().enumerate() {
            if i >= SLOTS {
                self.queue.push_back(job);
                continue;
            }
            job.left -= 1.0 / slowdown;
            if job.left > 0.0 {
                self.running.push(job);
            } else {
                self.serve(job, t);
            }
        }
    }

    fn serve(&mut self, mut job: Job, t: u64) {
        let now = Moment::from_millis(NOW + t);
        let count = |jobs: usize| u32::try_from(jobs).unwrap();
        let load = ReportedLoad {
            running: count(self.running.len() + 1),
            waiting: count(self.queue.len()),
            slots: None,
            work_time: None,
        };
        job.view.live.record_load(load, now);
        job.view.live.record_activity(now);
        job.permit.record_first_byte();
        let first = Duration::from_millis(t - job.sent);
        job.view.live.record_success(first, Duration::ZERO, now);
        self.served.push(t);
    }

    fn fail_all(&mut self, failure: Failure, t: u64) {
        let held = std::mem::take(&mut self.running).into_iter();
        let held: Vec<_> = held.chain(self.queue.drain(..)).collect();
        for job in held {
            let is_new = job.sent == t && failure == Failure::Broken;
            let failure = if is_new {
                Failure::Unreachable
            } else {
                failure
            };
            self.fail(&job, failure, t);
        }
    }

    fn fail(&mut self, job: &Job, failure: Failure, t: u64) {
        let now = Moment::from_millis(NOW + t);
        job.view.live.record_failure(failure, Duration::ZERO, now);
        self.failures.push(t);
    }
}

fn cases() -> [Case; 8] {
    let case = |name, mode, max_failed, max_full_ms| Case {
        name,
        seed: 7,
        endpoints: ENDPOINTS,
        disturbed: 1,
        restarted: true,
        rate: [140, 200],
        mode,
        end_ms: 20_000,
        max_failed: Some(max_failed),
        max_full_ms,
    };
    // Fixed ramps took two seconds from the end of a pause.
    let ramp = LEARNING_MS + 2_000;
    [
        case("warms in 0.5 s", |t| warming(t, 500), 0, Some(ramp)),
        case("warms in 3 s", |t| warming(t, 3_000), 0, Some(3_000 + ramp)),
        Case {
            end_ms: 40_000,
            ..case(
                "warms in 20 s",
                |t| warming(t, 20_000),
                0,
                Some(20_000 + ramp),
            )
        },
        Case {
            restarted: false,
            ..case(
                "flaps",
                |t| {
                    if t < 8_000 && t / 1_000 % 2 == 1 {
                        Mode::Down
                    } else {
                        Mode::Serves(1.0)
                    }
                },
                // A probe of each entry for each second down, and what was under way.
                4 * (ENTRIES + SLOTS),
                Some(8_000 + ramp),
            )
        },
        Case {
            restarted: false,
            ..case(
                "comes back at a third of its speed",
                |_| Mode::Serves(3.0),
                // The tries that find it back.
                ENTRIES,
                Some(10_000),
            )
        },
        Case {
            restarted: false,
            ..case(
                "answers health and fails work",
                |_| Mode::Fails,
                // Tries after 0.5, 1, 2, 4, 4 s by each entry.
                5 * ENTRIES,
                None,
            )
        },
        Case {
            disturbed: 3,
            rate: [110, 210],
            max_failed: None,
            ..case(
                "a failure domain under a burst",
                |t| warming(t, 3_000),
                0,
                Some(3_000 + ramp),
            )
        },
        Case {
            endpoints: 1,
            rate: [24, 24],
            ..case(
                "the last of its service",
                |t| warming(t, 500),
                0,
                Some(ramp),
            )
        },
    ]
}

/// Guards against endpoints on their way back that are flooded or left idle.
#[test]
fn an_endpoint_that_returns_finds_its_pace() {
    let mut misses = Vec::new();
    for case in cases() {
        let Replay {
            sent,
            failed,
            failed_elsewhere,
            peak,
            full,
        } = Replay::run(&case);
        let full_text = full.map_or("never".to_owned(), |full| format!("{full} ms"));
        println!(
            "{}: {sent} sent, {failed} failed ({failed_elsewhere} elsewhere), \
             {peak} held at first, \
             full load after {full_text}",
            case.name
        );
        let in_time = match (full, case.max_full_ms) {
            (Some(full), Some(max)) => full <= max,
            (full, None) => full.is_none(),
            (None, Some(_)) => false,
        };
        // A flooded endpoint has more at first than it can run.
        let flooded = peak > SLOTS;
        if flooded || failed > case.max_failed.unwrap_or(failed_elsewhere) || !in_time {
            misses.push(case.name);
        }
    }
    assert!(misses.is_empty(), "{misses:?}");
}

/// Share of each entry.
#[allow(clippy::cast_precision_loss)]
fn share() -> Share {
    Share::clamped(1.0 / ENTRIES as f64)
}

fn query_at(domain: &DomainName, t: u64) -> Query<'_> {
    Query {
        rates: &UNLIMITED,
        share: share(),
        ..query(domain, None, NOW + t)
    }
}

/// Tells an entry that a new incarnation has appeared, as its control thread does.
fn started(view: &EndpointView) {
    let bounds = Bounds {
        slots: view.record.slots,
        share: share(),
    };
    view.live.start(bounds, Some(Duration::from_millis(100)));
}

/// Figures of the disturbed endpoints after their return.
struct Replay {
    sent: usize,
    failed: usize,
    /// Failed attempts at the other endpoints in the same time.
    failed_elsewhere: usize,
    /// Requests that one of them held at most in the first second.
    peak: usize,
    /// Time from the return to the full load of all of them; `None` if it is not reached.
    full: Option<u64>,
}

impl Replay {
    fn run(case: &Case) -> Self {
        let view = |i: usize| endpoint(&format!("e{i}"), if i < 3 { "north" } else { "south" });
        // `None` while the store has no record of the endpoint.
        let mut entries: Vec<Vec<Option<Arc<EndpointView>>>> = (0..ENTRIES)
            .map(|_| (0..case.endpoints).map(|i| Some(view(i))).collect())
            .collect();
        let mut servers: Vec<Server> = (0..case.endpoints).map(|_| Server::default()).collect();
        let domain = "east".parse().unwrap();
        let mut seed = case.seed;
        let mut random = |below: u64| {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (seed >> 33) % below
        };
        for t in 0..case.end_ms {
            for (i, entry) in entries.iter_mut().enumerate() {
                let learns = BACK_MS + LEARNING_MS * i as u64 / ENTRIES as u64;
                for (e, known) in entry[..case.disturbed].iter_mut().enumerate() {
                    if case.restarted && t == DOWN_MS {
                        *known = None;
                    }
                    if case.restarted && t == learns {
                        *known = Some(view(e));
                        started(known.as_ref().unwrap());
                    }
                }
            }
            let rate = case.rate[usize::from(t >= BACK_MS)];
            if random(1_000) < rate {
                let entry = &entries[usize::try_from(random(ENTRIES as u64)).unwrap()];
                let known: Vec<_> = entry.iter().flatten().cloned().collect();
                if let Some(choice) = choose(&known, &query_at(&domain, t)) {
                    let is_chosen = |v: &Option<Arc<EndpointView>>| {
                        v.as_ref().is_some_and(|v| Arc::ptr_eq(v, &choice.endpoint))
                    };
                    let e = entry.iter().position(is_chosen).unwrap();
                    let now = Moment::from_millis(NOW + t);
                    servers[e].arrivals.push(t);
                    servers[e].queue.push_back(Job {
                        sent: t,
                        left: WORK_MS,
                        permit: choice.endpoint.live.begin(Duration::ZERO, now),
                        view: choice.endpoint,
                    });
                }
            }
            for (e, server) in servers.iter_mut().enumerate() {
                server.step(case.mode_at(e, t), t);
            }
        }
        Self::measure(case, &servers)
    }

    fn measure(case: &Case, servers: &[Server]) -> Self {
        let in_window = |server: &Server, from: u64| {
            let times = server.served.iter();
            times
                .filter(|t| (from..from + WINDOW_MS).contains(t))
                .count()
        };
        // The usual load is an equal part of all, or what the endpoint can do at its speed.
        #[allow(clippy::cast_precision_loss)]
        let is_full = |from: u64| {
            servers[..case.disturbed].iter().all(|server| {
                let equal = (case.rate[1] * WINDOW_MS) as f64 / 1e3 / case.endpoints as f64;
                let Mode::Serves(slowdown) = (case.mode)(case.end_ms) else {
                    return false;
                };
                let able = SLOTS as f64 * WINDOW_MS as f64 / WORK_MS / slowdown;
                in_window(server, from) as f64 >= equal.min(able) * FULL_FRACTION
            })
        };
        let mut windows = (BACK_MS..case.end_ms - WINDOW_MS).step_by(100);
        let (disturbed, others) = servers.split_at(case.disturbed);
        let after = |times: &[u64]| times.iter().filter(|t| **t >= BACK_MS).count();
        Self {
            sent: disturbed.iter().map(|s| after(&s.arrivals)).sum(),
            failed: disturbed.iter().map(|s| after(&s.failures)).sum(),
            failed_elsewhere: others.iter().map(|s| after(&s.failures)).sum(),
            peak: disturbed.iter().map(|s| s.peak).max().unwrap_or_default(),
            full: windows.find(|from| is_full(*from)).map(|at| at - BACK_MS),
        }
    }
}

impl Case {
    fn mode_at(&self, endpoint: usize, t: u64) -> Mode {
        match t {
            _ if endpoint >= self.disturbed => Mode::Serves(1.0),
            0..DOWN_MS => Mode::Serves(1.0),
            DOWN_MS..BACK_MS => Mode::Down,
            _ => (self.mode)(t - BACK_MS),
        }
    }
}

/// Guards against an endpoint that an entry with a small or no share never uses again after
/// a pause, and against requests of many such entries at once.
#[test]
fn a_small_share_is_one_request_at_times() {
    struct Case {
        name: &'static str,
        share: f64,
        /// Whether the first request was refused, rather than not answered yet.
        refused: bool,
        since_ms: u64,
        open: bool,
    }
    let case = |name, share, refused, since_ms, open| Case {
        name,
        share,
        refused,
        since_ms,
        open,
    };
    let cases = [
        case("all of the endpoint", 1.0, true, 0, true),
        case("a tenth, at once", 0.1, true, 0, false),
        case("a tenth, after nine tenths", 0.1, true, 900, false),
        case("a tenth, after its interval", 0.1, true, 1_000, true),
        case("a tenth, not answered", 0.1, false, 1_000, false),
        case("no share, at once", 0.0, true, 0, false),
        case("no share, later", 0.0, true, 1_000, true),
    ];
    for case in cases {
        let view = endpoint("e", "north");
        let bounds = Bounds {
            slots: 4,
            share: Share::clamped(case.share),
        };
        let pause = Duration::from_secs(1);
        view.live.record_success(
            Duration::from_millis(100),
            Duration::ZERO,
            Moment::from_millis(NOW),
        );
        view.live.pause(pause, Moment::from_millis(NOW));
        let sent = Moment::from_millis(NOW).saturating_add(pause);
        let first = view.live.admission(bounds, sent);
        assert_eq!(first, Admission::Open, "{}: first", case.name);
        let permit = view.live.begin(Duration::ZERO, sent);
        let permit = if case.refused {
            drop(permit);
            view.live
                .record_failure(Failure::Refused, Duration::ZERO, sent);
            None
        } else {
            Some(permit)
        };
        let at = sent.saturating_add(Duration::from_millis(case.since_ms));
        let is_open = view.live.admission(bounds, at) == Admission::Open;
        assert_eq!(is_open, case.open, "{}", case.name);
        drop(permit);
    }
}
