//! Tables of a soak and the systems that run over them each tick.

use std::thread;
use std::time::{Duration, Instant};

use quetzalworks::http::Client;
use quetzalworks::standin::{Faults, LogCommand, Outage};
use quetzalworks::units::Millis;
use strum::IntoEnumIterator;

use crate::soak::backend::RandomBehaviour;
use crate::soak::callers::{self, Callers, RED, RequestKind};
use crate::soak::check::{self, Observations, Violation};
use crate::soak::fault::{ActiveFault, EndedFault, ScheduledFault};
use crate::soak::plan::{self, FaultKind, Plan};
use crate::soak::site::{Node, ProcessState, Site};
use crate::testing::http;

/// Interval between ticks of a soak.
const TICK: Duration = Duration::from_millis(20);
/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Maximum time until all entries serve, after the start and after the faults; the
/// contract calls it recovery.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Maximum duration of a planned stop: the grace period of the settings and one
/// second for the exit.
const MAX_STOP_TIME: Duration = Duration::from_secs(9);
/// Added answer delay of a slow store.
const SLOW_STORE_DELAY: Millis = Millis(400);

/// A running soak and its tables of faults by life cycle state.
struct Soak {
    started_at: Instant,
    site: Site,
    scheduled: Vec<ScheduledFault>,
    active: Vec<ActiveFault>,
    ended: Vec<EndedFault>,
    violations: Vec<Violation>,
    /// Availability last set at the store.
    outage: Outage,
}

/// Runs the soak of a seed; returns the violated guarantees as text.
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
    let (soak, sent) = soak.run_faults(&callers);
    let requests = sent.len();
    let is_success = |sent: &&callers::Sent| sent.result.as_ref().is_ok_and(|a| a.status == 200);
    let succeeded = sent.iter().filter(is_success).count();
    let violations = soak.finish(sent, &plan);
    println!(
        "soak: seed {seed}: {} entries, {} faults, {succeeded} of {requests} requests succeeded, \
         {} guarantees violated",
        plan.entries,
        plan.faults.len(),
        violations.len()
    );
    let describe = |violation: Violation| format!("seed {seed}: {violation}");
    violations.into_iter().map(describe).collect()
}

impl Soak {
    fn spawn(seed: u64, plan: &Plan) -> Self {
        Self {
            started_at: Instant::now(),
            site: Site::spawn(
                plan.entries,
                RandomBehaviour::new(seed, !plan.has_unplanned_faults),
            ),
            scheduled: plan.faults.iter().copied().map(ScheduledFault).collect(),
            active: Vec::new(),
            ended: Vec::new(),
            violations: Vec::new(),
            outage: Outage::Up,
        }
    }

    /// Runs the faults under load, then waits until all entries serve again.
    fn run_faults(mut self, callers: &Callers) -> (Self, Vec<callers::Sent>) {
        self.wait_ready("at the start");
        self.started_at = Instant::now();
        thread::scope(|scope| {
            let load = scope.spawn(|| {
                http::concurrently(CALLERS, |caller| callers.run(caller as u64));
            });
            while !(self.scheduled.is_empty() && self.active.is_empty()) {
                self.tick();
                thread::sleep(TICK);
            }
            self.site.draw.make_reliable();
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

    /// Starts the scheduled faults that are due.
    fn start_due(&mut self, now: Instant) {
        let started_at = self.started_at;
        let is_due = |scheduled: &mut ScheduledFault| started_at + scheduled.0.at <= now;
        for scheduled in self.scheduled.extract_if(.., is_due) {
            self.active.push(scheduled.start(&mut self.site, now));
        }
    }

    /// Ends the active faults whose duration has passed.
    fn end_due(&mut self, now: Instant) {
        while let Some(i) = self.active.iter().position(|active| active.is_due(now)) {
            let active = self.active.swap_remove(i);
            self.ended
                .push(active.end(&mut self.site, &self.active, now));
        }
    }

    /// Sets the faults of all links, combined if several are active on a link.
    fn set_links(&self) {
        let combined = |affects_link: fn(FaultKind) -> bool, i: usize| {
            let on_link = self.active.iter();
            let on_link = on_link.filter(|a| affects_link(a.kind) && a.target == i);
            on_link
                .map(ActiveFault::link_faults)
                .fold(Faults::default(), combine)
        };
        for (i, node) in self.site.nodes.iter().enumerate() {
            node.store.set(combined(
                |kind| kind.affects_entry() && !kind.affects_callers_link(),
                i,
            ));
            node.link.set(combined(FaultKind::affects_callers_link, i));
        }
        for (i, back_end) in self.site.back_ends.iter().enumerate() {
            back_end.link.set(combined(|kind| !kind.affects_entry(), i));
        }
    }

    /// Sets availability and answer delay of the store.
    fn set_store(&mut self) {
        let has = |kind| self.active.iter().any(|active| active.kind == kind);
        let outage = match (has(FaultKind::StoreHangs), has(FaultKind::StoreRefuses)) {
            (true, _) => Outage::Hanging,
            (false, true) => Outage::Refusing,
            (false, false) => Outage::Up,
        };
        let delay = if has(FaultKind::StoreSlow) {
            SLOW_STORE_DELAY
        } else {
            Millis(0)
        };
        if std::mem::replace(&mut self.outage, outage) != outage {
            self.site.store.control(LogCommand::Outage(outage));
        }
        self.site.store.control(LogCommand::AnswerDelay(delay));
    }

    /// Records processes that exit or hang unexpectedly, and restarts exited ones.
    fn watch_processes(&mut self, now: Instant) {
        for (i, node) in self.site.nodes.iter_mut().enumerate() {
            let is_frozen = self
                .active
                .iter()
                .any(|a| a.kind == FaultKind::Freeze && a.target == i);
            if let Some(problem) = check_process(node, is_frozen, now) {
                let violation = Violation::new("process", format!("entry {i}: {problem}"));
                self.violations.push(violation);
            }
            node.restart_when_due(now);
        }
    }

    /// Waits until all entries are ready; records a violation if they are not in time.
    fn wait_ready(&mut self, when: &str) {
        let deadline = Instant::now() + MAX_RECOVERY_TIME;
        let mut ready = 0;
        while ready < self.site.nodes.len() && Instant::now() < deadline {
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
            self.violations.push(Violation::new("recover", text));
        }
    }

    /// Checks that each entry serves each kind of request, and the added route if
    /// there is one, within [`MAX_RECOVERY_TIME`].
    fn probe(&mut self, callers: &Callers) {
        let deadline = Instant::now() + MAX_RECOVERY_TIME;
        let is_route_added = self
            .ended
            .iter()
            .any(|fault| fault.kind == FaultKind::AddRoute);
        let mut paths: Vec<_> = RequestKind::iter().map(RequestKind::path).collect();
        paths.extend(is_route_added.then_some("/new/a"));
        for (i, addr) in callers.entries.iter().enumerate() {
            let client = Client::new(*addr, http::traffic());
            for path in &paths {
                let mut last = None;
                while !last.as_ref().is_some_and(|last| *last == Ok(200)) {
                    if Instant::now() >= deadline {
                        let text = format!("entry {i} does not serve {path}: {last:?}");
                        self.violations.push(Violation::new("recover", text));
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

    /// Stops all entries and checks the guarantees on what was observed.
    fn finish(mut self, sent: Vec<callers::Sent>, plan: &Plan) -> Vec<Violation> {
        for node in &self.site.nodes {
            node.process.terminate();
        }
        for (i, node) in self.site.nodes.iter_mut().enumerate() {
            let status = node.process.wait_exit();
            if !status.success() {
                let text = format!("entry {i} exited with {status}");
                self.violations.push(Violation::new("process", text));
            }
        }
        let back_ends = self.site.back_ends.iter();
        let observations = Observations {
            sent,
            arrivals: back_ends
                .flat_map(|back_end| back_end.endpoint.received())
                .collect(),
            ended_faults: self.ended,
            logs: self.site.nodes.iter().map(check::Log::of).collect(),
            has_unplanned_faults: plan.has_unplanned_faults,
        };
        self.violations.extend(check::all(&observations));
        self.violations
    }
}

/// Combines two faults of one link.
fn combine(a: Faults, b: Faults) -> Faults {
    Faults {
        delay: a.delay.max(b.delay),
        cut_to_target: a.cut_to_target || b.cut_to_target,
        cut_to_client: a.cut_to_client || b.cut_to_client,
        drop_response: a.drop_response || b.drop_response,
        ..a
    }
}

/// Checks a process; returns a description of an unexpected exit, or of a planned
/// stop that takes too long, after which the process is killed.
fn check_process(node: &mut Node, is_frozen: bool, now: Instant) -> Option<String> {
    if !node.has_process() {
        return None;
    }
    if let Some(status) = node.process.exit_status() {
        let state = std::mem::replace(&mut node.state, ProcessState::Down { since: now });
        let is_expected = match state {
            ProcessState::Running | ProcessState::Down { .. } => false,
            ProcessState::Stopping => status.success(),
            ProcessState::Killed => true,
        };
        return (!is_expected).then(|| format!("exited with {status} in state {state:?}"));
    }
    let is_late = node.state == ProcessState::Stopping
        && !is_frozen
        && now > node.stopping_since + MAX_STOP_TIME;
    is_late.then(|| {
        node.process.kill_unreaped();
        node.state = ProcessState::Killed;
        format!("did not exit within {MAX_STOP_TIME:?} of the stop signal")
    })
}
