//! Tables of a soak, and the systems that run over them each tick.

use std::thread;
use std::time::{Duration, Instant};

use quetzalworks::http::Client;
use quetzalworks::standin::{Faults, LogCommand, Outage};
use quetzalworks::units::Millis;
use strum::IntoEnumIterator;

use crate::soak::backend::Draw;
use crate::soak::callers::{self, Callers, RED, Wish};
use crate::soak::check::{self, Breach, Seen};
use crate::soak::fault::{Active, Over, Waiting};
use crate::soak::plan::{self, Kind, Plan};
use crate::soak::site::{Life, Node, Site};
use crate::testing::http;

/// Time between ticks.
const TICK: Duration = Duration::from_millis(20);
/// Callers at a time.
const CALLERS: usize = 8;
/// Longest time after which all entries serve again: what the contract calls recovery.
const RECOVER: Duration = Duration::from_secs(15);
/// Longest planned stop: the grace of the settings, and a second to end.
const STOP: Duration = Duration::from_secs(9);
/// Answer time of a slow store.
const SLOW_STORE: Millis = Millis(400);

/// A soak under way.
struct Soak {
    began: Instant,
    site: Site,
    waiting: Vec<Waiting>,
    active: Vec<Active>,
    over: Vec<Over>,
    breaches: Vec<Breach>,
    outage: Outage,
}

/// Plays a seed; returns the promises that were broken.
pub fn run(seed: u64) -> Vec<String> {
    let plan = plan::plan(seed);
    let soak = Soak::spawn(seed, &plan);
    let callers = Callers::new(
        soak.site
            .nodes
            .iter()
            .map(|node| node.link.addr())
            .collect(),
        seed,
    );
    let (soak, sent) = soak.play(&callers);
    let requests = sent.len();
    let is_good = |sent: &&callers::Sent| sent.result.as_ref().is_ok_and(|a| a.status == 200);
    let good = sent.iter().filter(is_good).count();
    let breaches = soak.finish(sent, &plan);
    println!(
        "soak: seed {seed}: {} entries, {} faults, {good} of {requests} requests answered well, \
         {} promises broken",
        plan.entries,
        plan.faults.len(),
        breaches.len()
    );
    let tell = |breach: Breach| format!("seed {seed}: {breach}");
    breaches.into_iter().map(tell).collect()
}

impl Soak {
    fn spawn(seed: u64, plan: &Plan) -> Self {
        Self {
            began: Instant::now(),
            site: Site::spawn(plan.entries, Draw::new(seed, !plan.is_rough)),
            waiting: plan.faults.iter().copied().map(Waiting).collect(),
            active: Vec::new(),
            over: Vec::new(),
            breaches: Vec::new(),
            outage: Outage::Up,
        }
    }

    /// Runs the faults under load, then waits until all entries serve.
    fn play(mut self, callers: &Callers) -> (Self, Vec<callers::Sent>) {
        self.wait_ready("at the start");
        self.began = Instant::now();
        thread::scope(|scope| {
            let load = scope.spawn(|| {
                http::concurrently(CALLERS, |caller| callers.run(caller as u64));
            });
            while !(self.waiting.is_empty() && self.active.is_empty()) {
                self.tick();
                thread::sleep(TICK);
            }
            self.site.draw.calm();
            self.wait_ready("after the faults");
            self.probe(callers);
            callers.stop();
            load.join().unwrap();
        });
        (self, callers.take())
    }

    fn tick(&mut self) {
        let now = Instant::now();
        self.start_due(now);
        self.end_due(now);
        self.set_links();
        self.set_store();
        self.watch_processes(now);
    }

    fn start_due(&mut self, now: Instant) {
        let began = self.began;
        let is_due = |waiting: &mut Waiting| began + waiting.0.at <= now;
        for waiting in self.waiting.extract_if(.., is_due) {
            self.active.push(waiting.start(&mut self.site, now));
        }
    }

    fn end_due(&mut self, now: Instant) {
        while let Some(i) = self.active.iter().position(|active| active.is_due(now)) {
            let active = self.active.swap_remove(i);
            self.over
                .push(active.end(&mut self.site, &self.active, now));
        }
    }

    /// Faults on the links, joined where several are in force.
    fn set_links(&self) {
        let joined = |is_of_link: fn(Kind) -> bool, i: usize| {
            let here = self.active.iter();
            let here = here.filter(|a| is_of_link(a.kind) && a.target == i);
            here.map(Active::on_link).fold(Faults::default(), join)
        };
        for (i, node) in self.site.nodes.iter().enumerate() {
            node.store.set(joined(
                |kind| kind.is_of_entry() && !kind.is_of_callers(),
                i,
            ));
            node.link.set(joined(Kind::is_of_callers, i));
        }
        for (i, back_end) in self.site.back_ends.iter().enumerate() {
            back_end.link.set(joined(|kind| !kind.is_of_entry(), i));
        }
    }

    fn set_store(&mut self) {
        let has = |kind| self.active.iter().any(|active| active.kind == kind);
        let outage = match (has(Kind::StoreHangs), has(Kind::StoreRefuses)) {
            (true, _) => Outage::Hanging,
            (false, true) => Outage::Refusing,
            (false, false) => Outage::Up,
        };
        let slow = if has(Kind::StoreSlow) {
            SLOW_STORE
        } else {
            Millis(0)
        };
        if std::mem::replace(&mut self.outage, outage) != outage {
            self.site.store.control(LogCommand::Outage(outage));
        }
        self.site.store.control(LogCommand::AnswerDelay(slow));
    }

    fn watch_processes(&mut self, now: Instant) {
        for (i, node) in self.site.nodes.iter_mut().enumerate() {
            let is_frozen = self
                .active
                .iter()
                .any(|a| a.kind == Kind::Freeze && a.target == i);
            if let Some(told) = watch(node, is_frozen, now) {
                let breach = Breach::new("process", format!("entry {i}: {told}"));
                self.breaches.push(breach);
            }
            node.restart_when_due(now);
        }
    }

    fn wait_ready(&mut self, when: &str) {
        let until = Instant::now() + RECOVER;
        let mut ready = 0;
        while ready < self.site.nodes.len() && Instant::now() < until {
            self.tick();
            thread::sleep(TICK);
            ready = self
                .site
                .nodes
                .iter()
                .filter(|node| node.is_ready())
                .count();
        }
        if ready < self.site.nodes.len() {
            let text = format!("{ready} of {} ready {when}", self.site.nodes.len());
            self.breaches.push(Breach::new("recover", text));
        }
    }

    /// Each entry serves each kind of request, and what was added, in time.
    fn probe(&mut self, callers: &Callers) {
        let until = Instant::now() + RECOVER;
        let is_added = self.over.iter().any(|over| over.kind == Kind::AddRoute);
        let mut paths: Vec<_> = Wish::iter().map(Wish::path).collect();
        paths.extend(is_added.then_some("/new/a"));
        for (i, addr) in callers.entries.iter().enumerate() {
            let client = Client::new(*addr, http::traffic());
            for path in &paths {
                let mut last = None;
                while !last.as_ref().is_some_and(|last| *last == Ok(200)) {
                    if Instant::now() >= until {
                        let text = format!("entry {i} does not serve {path}: {last:?}");
                        self.breaches.push(Breach::new("recover", text));
                        break;
                    }
                    self.tick();
                    let id = format!("probe-{}", callers.id());
                    let answer = callers::send(&client, path, RED.1, &id, callers::DEADLINE);
                    last = Some(answer.map(|answer| answer.status));
                    thread::sleep(TICK);
                }
            }
        }
    }

    /// Stops all entries and checks what callers and endpoints have seen.
    fn finish(mut self, sent: Vec<callers::Sent>, plan: &Plan) -> Vec<Breach> {
        for node in &self.site.nodes {
            node.process.terminate();
        }
        for (i, node) in self.site.nodes.iter_mut().enumerate() {
            let status = node.process.wait_exit();
            if !status.success() {
                let text = format!("entry {i} ended with {status}");
                self.breaches.push(Breach::new("process", text));
            }
        }
        let back_ends = self.site.back_ends.iter();
        let seen = Seen {
            sent,
            arrivals: back_ends
                .flat_map(|back_end| back_end.endpoint.received())
                .collect(),
            over: self.over,
            logs: self.site.nodes.iter().map(check::Log::of).collect(),
            is_rough: plan.is_rough,
        };
        self.breaches.extend(check::all(&seen));
        self.breaches
    }
}

fn join(a: Faults, b: Faults) -> Faults {
    Faults {
        delay: a.delay.max(b.delay),
        cut_to_target: a.cut_to_target || b.cut_to_target,
        cut_to_client: a.cut_to_client || b.cut_to_client,
        drop_response: a.drop_response || b.drop_response,
        ..a
    }
}

/// What a process has done that it should not.
fn watch(node: &mut Node, is_frozen: bool, now: Instant) -> Option<String> {
    if !node.is_there() {
        return None;
    }
    if let Some(status) = node.process.exit_status() {
        let life = std::mem::replace(&mut node.life, Life::Down { since: now });
        let is_well = match life {
            Life::Runs | Life::Down { .. } => false,
            Life::Stops => status.success(),
            Life::Killed => true,
        };
        return (!is_well).then(|| format!("ended with {status} while {life:?}"));
    }
    let is_late = node.life == Life::Stops && !is_frozen && now > node.stops_since + STOP;
    is_late.then(|| {
        node.process.crash();
        node.life = Life::Killed;
        format!("still runs {STOP:?} after it was told to stop")
    })
}
