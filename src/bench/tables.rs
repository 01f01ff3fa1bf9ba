//! Measures the time and memory of an entry's tables.

use std::time::{Duration, Instant};

use crate::bench;
use crate::bench::{overhead, synthetic};
use crate::control;
use crate::fleet;
use crate::system;

/// Number of measurements of which the median is reported.
const REPETITIONS: usize = 101;
/// Number of worlds held at the same time to measure the memory of one.
const WORLD_COUNT: usize = 10;

/// Sizes of the tables, times in microseconds, and memory.
#[derive(Debug, serde::Serialize)]
pub struct TablesReport {
    entries: usize,
    endpoints: usize,
    /// Connections that the entry keeps to sidecars.
    links: usize,
    /// Connections that the entry requests to other entries.
    peers: usize,
    /// Duration of a tick without events or periodic work.
    idle_tick_us: f64,
    /// Duration of a tick with one report, and of its snapshot.
    report_tick_us: f64,
    /// Duration of a tick with a report from every connected sidecar, and of its snapshot.
    all_reports_tick_us: f64,
    /// Duration of taking a snapshot alone.
    snapshot_us: f64,
    /// Duration of a tick that selects the connections to sidecars.
    choice_tick_us: f64,
    /// Duration of a tick with a gossip round between entries.
    round_tick_us: f64,
    /// Duration of a tick with the platform's list of VMs.
    inventory_tick_us: f64,
    /// Private memory of a world and its snapshot, in bytes.
    world_bytes: u64,
}

/// The control state of one entry, ticked without a network.
struct EntryFixture {
    world: control::World,
    snapshot: control::Snapshot,
    effects: Vec<control::Effect>,
}

impl EntryFixture {
    /// Creates a world that has applied its configuration and is connected.
    fn new(entries: usize, endpoints: usize) -> Result<Self, bench::BenchError> {
        let identity = synthetic::identity(fleet::NodeRole::Entry, 0)?;
        let mut fixture = Self {
            world: control::World::new(identity),
            snapshot: control::Snapshot::default(),
            effects: Vec::new(),
        };
        fixture.tick(vec![
            control::Event::ConfigPage(synthetic::page(synthetic::records()?)),
            control::Event::ControlPage(synthetic::page(Vec::new())),
            control::Event::Inventory(synthetic::list(entries, endpoints)?),
        ]);
        let mut events = Vec::new();
        for i in 0..endpoints {
            let node = synthetic::identity(fleet::NodeRole::Sidecar, i)?;
            let vm = node.vm.clone();
            events.push(control::Event::LinkUp(node));
            events.push(control::Event::Report(vm, synthetic::report(i)?));
        }
        for i in 1..entries {
            let node = synthetic::identity(fleet::NodeRole::Entry, i)?;
            let requested = fixture.effects.iter().any(
                |effect| matches!(effect, control::Effect::Connect { vm, .. } if *vm == node.vm),
            );
            if requested {
                events.push(control::Event::LinkUp(node));
            }
            events.push(control::Event::Members(vec![synthetic::member(i)?]));
        }
        fixture.tick(events);
        fixture.world.next_selection = None;
        fixture.tick(Vec::new());
        Ok(fixture)
    }

    fn tick(&mut self, events: Vec<control::Event>) {
        let mut cx = control::TickCx::new(Instant::now(), events);
        for system in system::ENTRY {
            system(&mut self.world, &mut cx);
        }
        if cx.changed {
            self.snapshot = system::snapshot::build(&self.world, cx.now);
        }
        self.world.last_tick = cx.now;
        self.effects.append(&mut cx.effects);
    }

    /// Returns the median duration of ticks with these events, in microseconds; `prepare`
    /// runs before each.
    fn median_tick_us(
        &mut self,
        prepare: impl Fn(&mut control::World),
        events: &[control::Event],
    ) -> f64 {
        self.effects.clear();
        overhead::median((0..REPETITIONS).map(|_| {
            prepare(&mut self.world);
            let events = events.to_vec();
            let start = Instant::now();
            self.tick(events);
            micros(start.elapsed())
        }))
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Measures an entry in a fleet with this many entries and endpoints.
pub fn run(entries: usize, endpoints: usize) -> Result<TablesReport, bench::BenchError> {
    let own = std::process::id();
    let before = bench::ProcessUsage::of(own)?.private;
    let mut worlds = Vec::new();
    for _ in 0..WORLD_COUNT {
        let mut fixture = EntryFixture::new(entries, endpoints)?;
        fixture.effects = Vec::new();
        worlds.push(fixture);
    }
    let after = bench::ProcessUsage::of(own)?.private;
    let mut fixture = EntryFixture::new(entries, endpoints)?;
    let linked = |fixture: &EntryFixture| {
        let rows = fixture.world.endpoints.iter();
        rows.filter(|(_, row)| row.link.is_some()).count()
    };
    let links = linked(&fixture);
    let peers = fixture.world.entries.iter();
    let peers = peers.filter(|(_, row)| row.link.is_some()).count();
    let mut reports = Vec::new();
    for (_, row) in fixture.world.endpoints.iter() {
        if row.link.is_some() {
            reports.push(control::Event::Report(row.vm.clone(), row.report.clone()));
        }
    }
    let list = [control::Event::Inventory(synthetic::list(
        entries, endpoints,
    )?)];
    let postpone_periodic_work = |world: &mut control::World| {
        let later = Instant::now() + Duration::from_hours(1);
        world.next_selection = Some(later);
        world.gossip.next_round = Some(later);
    };
    let snapshot = || {
        let start = Instant::now();
        std::hint::black_box(system::snapshot::build(&fixture.world, start));
        micros(start.elapsed())
    };
    let snapshot_us = overhead::median((0..REPETITIONS).map(|_| snapshot()));
    Ok(TablesReport {
        entries,
        endpoints,
        links,
        peers,
        snapshot_us,
        idle_tick_us: fixture.median_tick_us(postpone_periodic_work, &[]),
        report_tick_us: fixture.median_tick_us(postpone_periodic_work, &reports[..1]),
        all_reports_tick_us: fixture.median_tick_us(postpone_periodic_work, &reports),
        choice_tick_us: fixture.median_tick_us(
            |world| {
                postpone_periodic_work(world);
                world.next_selection = None;
            },
            &[],
        ),
        round_tick_us: fixture.median_tick_us(
            |world| {
                postpone_periodic_work(world);
                world.gossip.next_round = None;
            },
            &[],
        ),
        inventory_tick_us: fixture.median_tick_us(postpone_periodic_work, &list),
        world_bytes: after.0.saturating_sub(before.0) / WORLD_COUNT as u64,
    })
}
