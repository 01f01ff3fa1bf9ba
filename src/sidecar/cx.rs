//! What the tasks of a sidecar share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use smol::channel::{self, Receiver, Sender};

use crate::admission;
use crate::control;
use crate::errors;
use crate::fleet;
use crate::platform;
use crate::runtime;
use crate::settings;
use crate::sidecar;
use crate::sidecar::place;
use crate::units;

/// Bounds of the table of non-idempotent calls.
const CALL_BOUNDS: admission::CallBounds = admission::CallBounds {
    entries: 10_000,
    bytes: units::Bytes(16 * 1_024 * 1_024),
};

/// Most copies of usage records: about 40 MB.
const MAX_COPIES: usize = 200_000;

/// Crashes that may wait for the control stream of one entry; a crash takes
/// seconds, and each is repeated with the heartbeat until it is on record.
const MAX_WAITING_CRASHES: usize = 8;

/// How one who waits for a place is told.
pub type Waiter = Sender<Result<place::Place, errors::Refusal>>;

/// What the tasks of a sidecar share.
#[derive(Debug)]
pub struct SidecarCx {
    /// This process.
    pub me: fleet::Identity,
    /// Settings of the role.
    pub cfg: settings::SidecarSettings,
    /// The control thread.
    pub control: control::Control,
    /// The traffic threads.
    pub traffic: runtime::Traffic,
    /// Client of a model engine.
    pub engine: sidecar::Engine,
    /// Client of a plain service.
    pub service: sidecar::ServiceClient,
    /// Streams of dispatches whose replies have not all been received.
    pub streams: Arc<control::InFlight>,
    /// Orders are checked and forwarded one at a time, so that none overtakes a later one.
    pub fences: smol::lock::Mutex<admission::Fences>,
    /// Appends usage records.
    pub outbox: smol::lock::Mutex<platform::Appender>,
    admission: Mutex<admission::Controller<Waiter>>,
    calls: Mutex<admission::Calls>,
    crashes: Mutex<admission::Crashes>,
    copies: Mutex<admission::UsageCopies>,
    status: Mutex<Option<sidecar::EngineStatus>>,
    /// Control streams of entries, which are told of crashes at once.
    crash_watchers: Mutex<Vec<Sender<fleet::CrashReport>>>,
    stopping: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SidecarCx {
    /// The state of a process that has just started.
    #[must_use]
    pub fn new(
        me: fleet::Identity,
        cfg: &settings::SidecarSettings,
        control: control::Control,
        traffic: runtime::Traffic,
        log: platform::LogClient,
    ) -> Self {
        let limits = admission::Limits {
            cold: cfg.cold_limit,
            max: cfg.max_concurrent,
            ramp_interval: cfg.ramp_interval_ms.duration(),
            ramp_answers: cfg.ramp_answers,
        };
        let queue = usize::try_from(cfg.queue).unwrap_or(usize::MAX);
        Self {
            engine: sidecar::Engine::new(cfg.endpoint_addr, traffic.clone()),
            service: sidecar::ServiceClient::new(cfg.endpoint_addr, traffic.clone()),
            streams: Arc::default(),
            fences: smol::lock::Mutex::default(),
            outbox: smol::lock::Mutex::new(platform::Appender::new(log, platform::Stream::Usage)),
            admission: Mutex::new(admission::Controller::new(limits, queue)),
            calls: Mutex::new(admission::Calls::new(me.incarnation, CALL_BOUNDS)),
            crashes: Mutex::default(),
            copies: Mutex::new(admission::UsageCopies::new(MAX_COPIES)),
            status: Mutex::default(),
            crash_watchers: Mutex::default(),
            stopping: AtomicBool::new(false),
            cfg: cfg.clone(),
            me,
            control,
            traffic,
        }
    }

    /// Runs `f` on gate and queue.
    pub fn with_admission<T>(&self, f: impl FnOnce(&mut admission::Controller<Waiter>) -> T) -> T {
        f(&mut lock(&self.admission))
    }

    /// Runs `f` on the table of non-idempotent calls.
    pub fn with_calls<T>(&self, f: impl FnOnce(&mut admission::Calls) -> T) -> T {
        f(&mut lock(&self.calls))
    }

    /// Runs `f` on the requests in flight.
    pub fn with_crashes<T>(&self, f: impl FnOnce(&mut admission::Crashes) -> T) -> T {
        f(&mut lock(&self.crashes))
    }

    /// Runs `f` on the copies of usage records.
    pub fn with_copies<T>(&self, f: impl FnOnce(&mut admission::UsageCopies) -> T) -> T {
        f(&mut lock(&self.copies))
    }

    /// What the endpoint said of itself last; `None` while it does not answer.
    #[must_use]
    pub fn engine_status(&self) -> Option<sidecar::EngineStatus> {
        lock(&self.status).clone()
    }

    /// Takes what the endpoint says of itself. A new boot or a lost endpoint resets the gate.
    pub fn set_status(&self, status: Option<sidecar::EngineStatus>) {
        let now = Instant::now();
        let boot = status.as_ref().map(|status| Arc::clone(&status.boot));
        let was_up = std::mem::replace(&mut *lock(&self.status), status).is_some();
        let restarted = boot
            .as_ref()
            .is_some_and(|boot| self.with_admission(|adm| adm.gate_mut().saw_boot(boot, now)));
        if restarted {
            log::warn!("admit: the endpoint has started again, back to the cold limit.");
        }
        if boot.is_none() && was_up {
            self.with_admission(|adm| adm.gate_mut().reset(now));
            log::warn!("admit: the endpoint is lost, back to the cold limit.");
        }
    }

    /// Crashes of the endpoint from now on, for one entry.
    #[must_use]
    pub fn watch_crashes(&self) -> Receiver<fleet::CrashReport> {
        let (tx, rx) = channel::bounded(MAX_WAITING_CRASHES);
        let mut watchers = lock(&self.crash_watchers);
        watchers.retain(|tx| !tx.is_closed());
        watchers.push(tx);
        rx
    }

    /// Tells the entries of a crash. One that is missed comes with the next report.
    pub fn tell_crash(&self, report: &fleet::CrashReport) {
        for tx in &*lock(&self.crash_watchers) {
            if tx.try_send(report.clone()).is_err() {
                log::debug!("peer: an entry hears of a crash with the next report only.");
            }
        }
    }

    /// Begins a planned stop.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// The state of the endpoint.
    #[must_use]
    pub fn report(&self) -> fleet::Report {
        let snapshot = self.control.snapshot();
        let status = self.engine_status();
        let service = match &self.cfg.endpoint {
            settings::EndpointSettings::Service { name } => Some(name.clone()),
            settings::EndpointSettings::Engine { .. } => None,
        };
        let is_leaving = snapshot.self_out || snapshot.self_leaving() || self.is_stopping();
        let report = fleet::Report {
            accepting: status.is_some() && snapshot.is_serving() && !is_leaving,
            leaving: snapshot.self_leaving(),
            versions: status.map(|status| status.versions).unwrap_or_default(),
            service,
            max: self.cfg.max_concurrent,
            config: snapshot.config,
            ..fleet::Report::default()
        };
        self.with_admission(|adm| fleet::Report {
            running: adm.gate().running(),
            queued: adm.queued(),
            limit: adm.gate().limit(),
            warmth: adm.gate().warmth(),
            first_token: adm
                .gate()
                .median_first_token()
                .map(units::Millis::from)
                .unwrap_or_default(),
            ..report
        })
    }
}

/// Shared by the tasks.
pub type Shared = Arc<SidecarCx>;
