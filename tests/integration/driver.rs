//! Rollouts: the systems of several entries over one simulated log, without I/O.

use std::time::{Duration, Instant};

use quetzalworks::catalog;
use quetzalworks::control::{Effect, Event, LogPage, TickCx, World};
use quetzalworks::estimate::{Estimate, Evidence, RequestClass};
use quetzalworks::fleet::{Identity, NodeRole, Report};
use quetzalworks::ids::{ChangeId, Incarnation, Offset, Revision};
use quetzalworks::ledger::{Message, Record, RolloutRow};
use quetzalworks::platform::Stream;
use quetzalworks::platform_clients::{Vm, VmState};
use quetzalworks::rollout::Progress;
use quetzalworks::system;
use quetzalworks::units::Quality;
use serde_json::json;

const ROLLOUT: &str = "chat-small-2";
const MAX_EXPOSURE: u64 = 100;
const TICK: Duration = Duration::from_secs(1);
/// Ticks after which a change has taken effect; longer than the lease, its grace
/// period and the publication interval.
const SETTLE_TICKS: u32 = 15;

fn identity(vm: &str, role: NodeRole) -> Identity {
    Identity {
        vm: vm.parse().unwrap(),
        domain: "north".parse().unwrap(),
        region: "region-1".parse().unwrap(),
        incarnation: Incarnation(1),
        role,
    }
}

fn config() -> Vec<catalog::Record> {
    let version = json!({ "version": { "model": "small", "prompt_cost": 1, "output_cost": 1, "prior_quality": 0.8 } });
    let profile = json!({ "profile": {
        "teams": ["red"], "versions": ["small-1", "small-2"], "quality_target": 0.7, "max_exposure": MAX_EXPOSURE,
    }});
    let objects = [
        ("versions/small-1", version.clone()),
        ("versions/small-2", version),
        ("profiles/chat", profile),
        (
            "rollouts/chat-small-2",
            json!({ "rollout": { "profile": "chat", "version": "small-2" } }),
        ),
    ];
    let record = |((id, content), offset): ((&str, serde_json::Value), u64)| catalog::Record {
        offset: Offset(offset),
        body: Some(catalog::Body::Change(catalog::Change {
            id: ChangeId(u128::from(offset)),
            object: id.parse().unwrap(),
            base: Revision(0),
            content: Some(serde_json::from_value(content).unwrap()),
            author: "test".into(),
        })),
    };
    objects.into_iter().zip(0..).map(record).collect()
}

/// Simulates entries over one log; each tick of an entry delivers the `control`
/// records that it has not read.
struct Simulation {
    worlds: Vec<World>,
    control: Vec<Record>,
    evidence: Vec<Evidence>,
    now: Instant,
}

impl Simulation {
    fn new(entries: usize) -> Self {
        let world = |i| World::new(identity(&format!("entry-{i}"), NodeRole::Entry));
        let mut simulation = Self {
            worlds: (0..entries).map(world).collect(),
            control: Vec::new(),
            evidence: Vec::new(),
            now: Instant::now(),
        };
        let page = LogPage {
            first_retained: Offset(0),
            end: Offset(4),
            records: config(),
        };
        for i in 0..entries {
            let events = vec![
                Event::ConfigPage(page.clone()),
                Event::Inventory(vec![endpoint()]),
                Event::LinkUp(identity("endpoint-0", NodeRole::Sidecar)),
            ];
            simulation.tick(i, events);
        }
        simulation
    }

    fn tick(&mut self, i: usize, mut events: Vec<Event>) {
        let world = &mut self.worlds[i];
        let next = usize::try_from(world.ledger.next_offset().0).unwrap();
        events.push(Event::ControlPage(LogPage {
            first_retained: Offset(0),
            end: Offset(self.control.len() as u64),
            records: self.control[next..].to_vec(),
        }));
        let report = Report {
            versions: vec!["small-1".parse().unwrap(), "small-2".parse().unwrap()],
            accepting: true,
            ..Report::default()
        };
        events.push(Event::Report("endpoint-0".parse().unwrap(), report));
        if let Some(folding) = &world.driver.evidence_fold {
            let records = self.evidence.iter().cloned().map(Some);
            events.push(Event::EvidencePage(
                folding.fence,
                LogPage {
                    first_retained: Offset(0),
                    end: Offset(self.evidence.len() as u64),
                    records: (0..).map(Offset).zip(records).collect(),
                },
            ));
        }
        let mut cx = TickCx::new(self.now, events);
        for system in system::ENTRY {
            system(world, &mut cx);
        }
        world.last_tick = self.now;
        for effect in cx.effects {
            if let Effect::Append(append) = effect
                && append.stream == Stream::Control
            {
                let entry: Message = serde_json::from_value(append.record).unwrap();
                self.control.push(Record {
                    offset: Offset(self.control.len() as u64),
                    entry: Some(entry),
                });
            }
        }
    }

    /// Ticks the entries in `alive` once per simulated second until changes have
    /// taken effect.
    fn settle(&mut self, alive: std::ops::Range<usize>) {
        for _ in 0..SETTLE_TICKS {
            self.now += TICK;
            for i in alive.clone() {
                self.tick(i, Vec::new());
            }
        }
    }

    /// Publishes evidence of `count` ratings of the rolled-out version.
    fn publish_ratings(&mut self, quality: f64, count: u32) {
        let mut ratings = Estimate::default();
        for _ in 0..count {
            ratings.add(Quality::clamped(quality));
        }
        self.evidence.push(Evidence {
            entry: "entry-0".parse().unwrap(),
            incarnation: Incarnation(1),
            sequence: self.evidence.len() as u64,
            cells: vec![("small-2".parse().unwrap(), RequestClass(0), ratings)],
            spent: Vec::new(),
        });
    }

    /// Returns the rollout as entry `i` has it in its ledger.
    fn rollout(&self, i: usize) -> &RolloutRow {
        &self.worlds[i].ledger.state().rollouts[ROLLOUT]
    }
}

fn endpoint() -> Vm {
    Vm {
        vm: "endpoint-0".parse().unwrap(),
        domain: "north".parse().unwrap(),
        region: "region-1".parse().unwrap(),
        role: NodeRole::Sidecar,
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        state: VmState::Live,
    }
}

struct Case {
    name: &'static str,
    /// Batches of ratings, published one after the other: quality and count.
    batches: Vec<(f64, u32)>,
    /// Number of batches after which the lease holder stops for good; `None` if it
    /// never does.
    holder_stops_after: Option<usize>,
    expected: &'static str,
}

/// Guards against a rollout that continues with a bad version, and against a new
/// lease holder that loses the evidence or restarts the rollout.
#[test]
fn rollouts_follow_the_evidence() {
    let cases = [
        Case {
            name: "no evidence",
            batches: Vec::new(),
            holder_stops_after: None,
            expected: "step 0",
        },
        Case {
            name: "too few ratings",
            batches: vec![(0.9, 19)],
            holder_stops_after: None,
            expected: "step 0",
        },
        Case {
            name: "good evidence of one step",
            batches: vec![(0.9, 20)],
            holder_stops_after: None,
            expected: "step 1",
        },
        Case {
            name: "good evidence of all steps",
            batches: vec![(0.9, 20), (0.9, 30), (0.9, 30)],
            holder_stops_after: None,
            expected: "complete",
        },
        Case {
            name: "bad evidence",
            batches: vec![(0.2, 10)],
            holder_stops_after: None,
            expected: "stopped",
        },
        Case {
            name: "bad evidence in a later step",
            batches: vec![(0.9, 20), (0.2, 10)],
            holder_stops_after: None,
            expected: "stopped",
        },
        Case {
            name: "a new holder counts ratings published before",
            batches: vec![(0.9, 12), (0.9, 12)],
            holder_stops_after: Some(1),
            expected: "step 1",
        },
        Case {
            name: "a new holder stops the rollout",
            batches: vec![(0.9, 20), (0.2, 10)],
            holder_stops_after: Some(1),
            expected: "stopped",
        },
        Case {
            name: "a new holder keeps the rollout stopped",
            batches: vec![(0.2, 10), (0.9, 60)],
            holder_stops_after: Some(1),
            expected: "stopped",
        },
    ];
    for case in cases {
        let mut simulation = Simulation::new(2);
        let mut alive = 0..2;
        simulation.settle(alive.clone());
        for (i, (quality, count)) in case.batches.iter().enumerate() {
            simulation.publish_ratings(*quality, *count);
            simulation.settle(alive.clone());
            if case.holder_stops_after == Some(i + 1) {
                alive = 1..2;
                simulation.settle(alive.clone());
            }
        }
        let row = simulation.rollout(1);
        let progress = match &row.progress {
            Progress::Loading(_) => "loading",
            Progress::Stepping(stepping) if stepping.step() == 0 => "step 0",
            Progress::Stepping(stepping) if stepping.step() == 1 => "step 1",
            Progress::Stepping(_) => "later step",
            Progress::Complete(_) => "complete",
            Progress::Stopped(_) => "stopped",
        };
        assert_eq!(progress, case.expected, "{}", case.name);
        assert!(row.granted_in_step() <= MAX_EXPOSURE, "{}", case.name);
        let records = simulation.control.len();
        assert!(records < 400, "{}: {records} records", case.name);
    }
}
