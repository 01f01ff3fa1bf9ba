//! Replay of rollouts whose version fails or delays a small part of its requests, over
//! four entries that share their results through one store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quetzalworks::direct::{
    Batch, Effect, Event, OperatorChange, Plane, RolloutReport, Sample, Scope, SharedEvidence,
    Snapshot, VersionSplit, World,
};
use quetzalworks::ids::ServiceName;
use quetzalworks::rollout::{AttemptOutcome, Stage};
use quetzalworks::runtime::Moment;
use serde_json::json;

use crate::direct::world::{config, operator_change, position, settings};

const ENTRIES: usize = 4;
const TICK: Duration = Duration::from_millis(100);
const DURATION_S: u32 = 18;
const REQUESTS_PER_TICK: usize = 6;
/// Fraction of bookings that fail at a sound version, and of look-ups that fail at every
/// version, which single endpoints repeat.
const USUAL_FAILURES: f64 = 0.004;
/// Maximum share of the requests that a bad version may get, by the platform's contract.
const MAX_EXPOSURE: f64 = 0.15;
const EXPOSURE_SLACK: f64 = 30.0;
/// Bad answers after which the contract gives 5 s for the rollback.
const MAX_BAD_ANSWERS: u32 = 50;

/// A version in rollout, and the disruptions beside it.
#[derive(Clone, Copy)]
struct Version {
    /// Fraction of its requests that fail beside the usual ones.
    failures: f64,
    /// Multiple of the usual time to the first byte; the half of its requests that are slow
    /// have no answer before their callers leave if it is above 10.
    slowness: f64,
    /// Failures of one of its four endpoints.
    one_endpoint: f64,
}

const SOUND: Version = Version {
    failures: 0.0,
    slowness: 1.0,
    one_endpoint: 0.0,
};

struct Fleet {
    rng: fastrand::Rng,
    version: Version,
    now: Moment,
    planes: Vec<Plane>,
    snapshots: Vec<Arc<Snapshot>>,
    reports: Vec<RolloutReport>,
    evidence: HashMap<String, SharedEvidence>,
    store_is_up: bool,
    requests: f64,
    exposed: f64,
    bad_answers: u32,
}

fn batch<T>(items: Vec<T>, end: usize, now: Moment) -> Batch<T> {
    Batch {
        scope: Scope::Complete,
        items,
        end: position(end as u64),
        confirmed: Some(now),
    }
}

fn writer() -> ServiceName {
    "writer".parse().unwrap()
}

impl Fleet {
    fn start(version: Version, seed: u64) -> Self {
        let order = json!({ "Service": "writer", "Target": "v2", "DurationS": DURATION_S });
        let now = Moment::from_millis(100_000);
        let changes: Vec<OperatorChange> = vec![
            operator_change("config", Some(&config(1))),
            operator_change("rollout/writer", Some(&order)),
        ];
        let mut fleet = Self {
            rng: fastrand::Rng::with_seed(seed),
            version,
            now,
            planes: Vec::new(),
            snapshots: Vec::new(),
            reports: Vec::new(),
            evidence: HashMap::new(),
            store_is_up: true,
            requests: 0.0,
            exposed: 0.0,
            bad_answers: 0,
        };
        for entry in 0..ENTRIES {
            let mut settings = settings();
            settings.vm = format!("entry-{entry}").parse().unwrap();
            fleet.planes.push(Plane::new(World::new(settings)));
            fleet.snapshots.push(Arc::default());
            let endpoints = (0..8).map(|i| {
                let version = if i < 4 { "v1" } else { "v2" };
                let entry = crate::direct::world::entry("writer", version, 1);
                let id = format!("{version}-{}", i % 4);
                let record = crate::direct::world::record(&id, &entry);
                quetzalworks::direct::EndpointChange::Seen(record)
            });
            let events = vec![
                Event::Operator(batch(changes.clone(), 0, now)),
                Event::Endpoints(batch(endpoints.collect(), 0, now)),
                Event::Reports(batch(vec![], 0, now)),
            ];
            fleet.step(entry, events);
        }
        fleet
    }

    fn step(&mut self, entry: usize, events: Vec<Event>) {
        let outcome = self.planes[entry].step(self.now, events);
        if let Some(snapshot) = outcome.snapshot {
            self.snapshots[entry] = Arc::new(snapshot);
        }
        if !self.store_is_up {
            return;
        }
        for effect in outcome.effects {
            match effect {
                Effect::Report(report, end) if end == position(self.reports.len() as u64) => {
                    self.reports.push(report);
                }
                Effect::ExchangeEvidence(own) => self.exchange(entry, own),
                _ => {}
            }
        }
    }

    fn exchange(&mut self, entry: usize, own: Option<Box<SharedEvidence>>) {
        let shared = self.evidence.values().cloned().collect();
        if let Some(own) = own {
            self.evidence.insert(own.vm.to_string(), *own);
        }
        self.step(entry, vec![Event::EvidenceRead(shared)]);
    }

    fn request(&mut self) {
        let entry = self.rng.usize(..ENTRIES);
        let view = Arc::clone(&self.snapshots[entry].services[&writer()]);
        let share = match &view.split {
            VersionSplit::Canary(canary) => canary.share(self.now).get(),
            split => panic!("no rollout: {split:?}"),
        };
        let is_new = self.rng.f64() < share;
        self.requests += 1.0;
        self.exposed += f64::from(u8::from(is_new));
        let endpoint = self.rng.usize(..4);
        let usual_ms = 90.0 * (1.0 + 2.0 * self.rng.f64() * self.rng.f64());
        let (mut failures, mut slowness) = (USUAL_FAILURES, 1.0);
        if is_new {
            failures += self.version.failures;
            if endpoint == 0 {
                failures += self.version.one_endpoint;
            }
            if self.rng.bool() {
                slowness = self.version.slowness;
            }
        }
        let first = Duration::from_secs_f64(usual_ms * slowness / 1_000.0);
        let outcome = if self.rng.f64() < failures {
            AttemptOutcome::Failed
        } else if slowness > 10.0 {
            AttemptOutcome::Abandoned(first)
        } else {
            AttemptOutcome::Answered(Some(first))
        };
        let is_bad = outcome == AttemptOutcome::Failed || slowness > 1.0;
        self.bad_answers += u32::from(is_new && is_bad);
        let Some(evidence) = &view.evidence else {
            return;
        };
        let version = if is_new { "v2" } else { "v1" };
        evidence.add(Sample {
            route: "r".parse().unwrap(),
            version: version.parse().unwrap(),
            endpoint: format!("{version}-{endpoint}").parse().unwrap(),
            model: None,
            outcome,
        });
    }

    /// Plays the rollout to its deadline; returns the last stage on record.
    fn play(&mut self) -> Stage {
        let ticks = u128::from(DURATION_S) * 1_000 / TICK.as_millis();
        for _ in 0..ticks {
            self.now = self.now.saturating_add(TICK);
            for _ in 0..REQUESTS_PER_TICK {
                self.request();
            }
            for entry in 0..ENTRIES {
                let mut events = Vec::new();
                if self.store_is_up {
                    let reports = batch(self.reports.clone(), self.reports.len(), self.now);
                    events.push(Event::Reports(reports));
                }
                self.step(entry, events);
            }
        }
        self.reports
            .last()
            .map_or(Stage::Probing, |last| last.stage)
    }
}

/// Guards against a version that fails a small part of its requests, or delays them until
/// their callers leave, and is completed because no entry by itself sees enough of it; and
/// against sound versions that are rolled back for the faults of one endpoint.
#[test]
fn a_version_with_mild_faults_is_not_completed() {
    struct Case {
        name: &'static str,
        version: Version,
        /// Rollouts of ten that must end at `stage`.
        at_least: usize,
        stage: Stage,
    }
    let cases = [
        Case {
            name: "a tenth fails",
            version: Version {
                failures: 0.1,
                ..SOUND
            },
            at_least: 10,
            stage: Stage::RolledBack,
        },
        Case {
            name: "half are eight times slower",
            version: Version {
                slowness: 8.0,
                ..SOUND
            },
            at_least: 10,
            stage: Stage::RolledBack,
        },
        Case {
            name: "half have no answer before their callers leave",
            version: Version {
                slowness: 20.0,
                ..SOUND
            },
            at_least: 10,
            stage: Stage::RolledBack,
        },
        Case {
            name: "sound",
            version: SOUND,
            at_least: 10,
            stage: Stage::Completed,
        },
        Case {
            name: "sound, but one endpoint fails by itself",
            version: Version {
                one_endpoint: 0.4,
                ..SOUND
            },
            at_least: 8,
            stage: Stage::Completed,
        },
    ];
    for case in cases {
        let mut ended = 0;
        for seed in 0..10 {
            let mut fleet = Fleet::start(case.version, seed);
            let stage = fleet.play();
            ended += usize::from(stage == case.stage);
            if case.stage == Stage::RolledBack && stage == Stage::RolledBack {
                let allowed = fleet.requests.mul_add(MAX_EXPOSURE, EXPOSURE_SLACK);
                assert!(fleet.exposed <= allowed, "{}: seed {seed}", case.name);
                assert!(
                    fleet.bad_answers < MAX_BAD_ANSWERS,
                    "{}: seed {seed}, {} bad answers",
                    case.name,
                    fleet.bad_answers
                );
            }
        }
        assert!(
            ended >= case.at_least,
            "{}: {ended} of 10 at {}",
            case.name,
            case.stage
        );
    }
}
