//! Time and memory of the tables of an entry.

use std::time::{Duration, Instant};

use crate::bench;
use crate::bench::{overhead, sample};
use crate::control;
use crate::fleet;
use crate::system;

/// Repetitions of which the median counts.
const REPEATS: usize = 101;
/// Worlds that are held to tell the memory of one.
const WORLDS: usize = 10;

/// Times in microseconds, and memory.
#[derive(Debug, serde::Serialize)]
pub struct Tables {
    entries: usize,
    endpoints: usize,
    /// Connections to sidecars that the entry keeps.
    links: usize,
    /// Connections to other entries that the entry asks for.
    peers: usize,
    /// A tick in which nothing happens.
    idle_tick_us: f64,
    /// A tick with one report, and its snapshot.
    report_tick_us: f64,
    /// A tick with the reports of all links, and its snapshot.
    all_reports_tick_us: f64,
    /// The snapshot alone.
    snapshot_us: f64,
    /// A tick that chooses connections.
    choice_tick_us: f64,
    /// A tick with a round of the exchange between entries.
    round_tick_us: f64,
    /// A tick with the platform's list.
    inventory_tick_us: f64,
    /// Memory of a world and its snapshot.
    world_bytes: u64,
}

struct Bench {
    world: control::World,
    snapshot: control::Snapshot,
    effects: Vec<control::Effect>,
}

impl Bench {
    /// A world that has read its configuration and is connected.
    fn new(entries: usize, endpoints: usize) -> Result<Self, bench::BenchError> {
        let me = sample::identity(fleet::NodeRole::Entry, 0)?;
        let mut bench = Self {
            world: control::World::new(me),
            snapshot: control::Snapshot::default(),
            effects: Vec::new(),
        };
        bench.tick(vec![
            control::Event::ConfigPage(sample::page(sample::records()?)),
            control::Event::ControlPage(sample::page(Vec::new())),
            control::Event::Inventory(sample::list(entries, endpoints)?),
        ]);
        let mut events = Vec::new();
        for i in 0..endpoints {
            let node = sample::identity(fleet::NodeRole::Sidecar, i)?;
            let vm = node.vm.clone();
            events.push(control::Event::LinkUp(node));
            events.push(control::Event::Report(vm, sample::report(i)?));
        }
        for i in 1..entries {
            let node = sample::identity(fleet::NodeRole::Entry, i)?;
            let asked = bench.effects.iter().any(
                |effect| matches!(effect, control::Effect::Connect { vm, .. } if *vm == node.vm),
            );
            if asked {
                events.push(control::Event::LinkUp(node));
            }
            events.push(control::Event::Members(vec![sample::member(i)?]));
        }
        bench.tick(events);
        bench.world.choice_due = None;
        bench.tick(Vec::new());
        Ok(bench)
    }

    fn tick(&mut self, events: Vec<control::Event>) {
        let mut cx = control::TickCx::new(Instant::now(), events);
        for system in system::ENTRY {
            system(&mut self.world, &mut cx);
        }
        if cx.changed {
            self.snapshot = system::snapshot::take(&self.world, cx.now);
        }
        self.world.last_tick = cx.now;
        self.effects.append(&mut cx.effects);
    }

    /// Median time of ticks with these events.
    fn time(&mut self, prepare: impl Fn(&mut control::World), events: &[control::Event]) -> f64 {
        self.effects.clear();
        overhead::median((0..REPEATS).map(|_| {
            prepare(&mut self.world);
            let events = events.to_vec();
            let start = Instant::now();
            self.tick(events);
            micros(start.elapsed())
        }))
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// Measures tables of these sizes.
pub fn run(entries: usize, endpoints: usize) -> Result<Tables, bench::BenchError> {
    let own = std::process::id();
    let before = bench::ProcessUsage::of(own)?.private;
    let mut worlds = Vec::new();
    for _ in 0..WORLDS {
        let mut bench = Bench::new(entries, endpoints)?;
        bench.effects = Vec::new();
        worlds.push(bench);
    }
    let after = bench::ProcessUsage::of(own)?.private;
    let mut bench = Bench::new(entries, endpoints)?;
    let linked = |bench: &Bench| {
        let rows = bench.world.endpoints.iter();
        rows.filter(|(_, row)| row.link.is_some()).count()
    };
    let links = linked(&bench);
    let peers = bench.world.entries.iter();
    let peers = peers.filter(|(_, row)| row.link.is_some()).count();
    let mut reports = Vec::new();
    for (_, row) in bench.world.endpoints.iter() {
        if row.link.is_some() {
            reports.push(control::Event::Report(row.vm.clone(), row.report.clone()));
        }
    }
    let list = [control::Event::Inventory(sample::list(entries, endpoints)?)];
    let calm = |world: &mut control::World| {
        let later = Instant::now() + Duration::from_hours(1);
        world.choice_due = Some(later);
        world.gossip.next = Some(later);
    };
    let snapshot = || {
        let start = Instant::now();
        std::hint::black_box(system::snapshot::take(&bench.world, start));
        micros(start.elapsed())
    };
    let snapshot_us = overhead::median((0..REPEATS).map(|_| snapshot()));
    Ok(Tables {
        entries,
        endpoints,
        links,
        peers,
        snapshot_us,
        idle_tick_us: bench.time(calm, &[]),
        report_tick_us: bench.time(calm, &reports[..1]),
        all_reports_tick_us: bench.time(calm, &reports),
        choice_tick_us: bench.time(
            |world| {
                calm(world);
                world.choice_due = None;
            },
            &[],
        ),
        round_tick_us: bench.time(
            |world| {
                calm(world);
                world.gossip.next = None;
            },
            &[],
        ),
        inventory_tick_us: bench.time(calm, &list),
        world_bytes: after.0.saturating_sub(before.0) / WORLDS as u64,
    })
}
