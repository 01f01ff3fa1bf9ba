//! State shared by the tasks of a sidecar.

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
use crate::sidecar::slot;
use crate::units;

/// Capacity of the table of non-idempotent calls.
const CALL_TABLE_LIMITS: admission::CallBounds = admission::CallBounds {
    entries: 10_000,
    bytes: units::Bytes(16 * 1_024 * 1_024),
};

/// Maximum number of copies of usage records; they take about 40 MB.
const MAX_USAGE_COPIES: usize = 200_000;

/// Crashes that may wait to be sent on the control stream of one entry. A few
/// suffice: crashes are seconds apart, and each is repeated with the heartbeat
/// until it is recorded in the log.
const CRASH_CHANNEL_CAPACITY: usize = 8;

/// Channel on which a waiting request receives its slot or its refusal.
pub type Waiter = Sender<Result<slot::Slot, errors::Refusal>>;

/// State shared by the tasks of a sidecar: clients, tables, and handles to the threads.
#[derive(Debug)]
pub struct SidecarCx {
    /// Identity of this process.
    pub identity: fleet::Identity,
    /// Settings of the sidecar role.
    pub cfg: settings::SidecarSettings,
    /// Handle to the control thread.
    pub control: control::Control,
    /// Handle to the traffic threads.
    pub traffic: runtime::Traffic,
    /// Client of the endpoint if it is a model engine.
    pub engine: sidecar::Engine,
    /// Client of the endpoint if it is a plain service.
    pub service: sidecar::ServiceClient,
    /// Counts dispatch streams whose replies the entry has not all received.
    pub streams: Arc<control::InFlightCounter>,
    /// Highest fencing number seen. Locked while an order is checked and
    /// forwarded, so that no order overtakes another.
    pub fences: smol::lock::Mutex<admission::FenceCheck>,
    /// Appender for usage records; locked for the duration of an append.
    pub outbox: smol::lock::Mutex<platform::Appender>,
    admission: Mutex<admission::Controller<Waiter>>,
    calls: Mutex<admission::CallTable>,
    crashes: Mutex<admission::CrashTracker>,
    usage_copies: Mutex<admission::UsageCopies>,
    status: Mutex<Option<sidecar::EngineStatus>>,
    /// Channels to the control streams of entries, which are notified of crashes at once.
    crash_subscribers: Mutex<Vec<Sender<fleet::CrashReport>>>,
    stopping: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SidecarCx {
    /// Creates the state of a process that has just started, with a cold endpoint.
    #[must_use]
    pub fn new(
        identity: fleet::Identity,
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
            calls: Mutex::new(admission::CallTable::new(
                identity.incarnation,
                CALL_TABLE_LIMITS,
            )),
            crashes: Mutex::default(),
            usage_copies: Mutex::new(admission::UsageCopies::new(MAX_USAGE_COPIES)),
            status: Mutex::default(),
            crash_subscribers: Mutex::default(),
            stopping: AtomicBool::new(false),
            cfg: cfg.clone(),
            identity,
            control,
            traffic,
        }
    }

    /// Runs `f` on the admission controller (gate and queue) under its lock.
    pub fn with_admission<T>(&self, f: impl FnOnce(&mut admission::Controller<Waiter>) -> T) -> T {
        f(&mut lock(&self.admission))
    }

    /// Runs `f` on the table of non-idempotent calls under its lock.
    pub fn with_calls<T>(&self, f: impl FnOnce(&mut admission::CallTable) -> T) -> T {
        f(&mut lock(&self.calls))
    }

    /// Runs `f` on the table of requests in flight under its lock.
    pub fn with_crashes<T>(&self, f: impl FnOnce(&mut admission::CrashTracker) -> T) -> T {
        f(&mut lock(&self.crashes))
    }

    /// Runs `f` on the copies of usage records under their lock.
    pub fn with_usage_copies<T>(&self, f: impl FnOnce(&mut admission::UsageCopies) -> T) -> T {
        f(&mut lock(&self.usage_copies))
    }

    /// Returns the last status of the endpoint; `None` while it does not answer.
    #[must_use]
    pub fn engine_status(&self) -> Option<sidecar::EngineStatus> {
        lock(&self.status).clone()
    }

    /// Stores the status of the endpoint; `None` if it does not answer. Resets the
    /// gate to the cold limit if the boot id has changed or the endpoint is lost.
    pub fn set_status(&self, status: Option<sidecar::EngineStatus>) {
        let now = Instant::now();
        let boot = status.as_ref().map(|status| Arc::clone(&status.boot));
        let was_up = std::mem::replace(&mut *lock(&self.status), status).is_some();
        let restarted = boot.as_ref().is_some_and(|boot| {
            self.with_admission(|adm| adm.gate_mut().observe_boot_id(boot, now))
        });
        if restarted {
            log::warn!(
                "admit: the endpoint has restarted, concurrency limit reset to the cold limit."
            );
        }
        if boot.is_none() && was_up {
            self.with_admission(|adm| adm.gate_mut().reset(now));
            log::warn!(
                "admit: the endpoint no longer answers, concurrency limit reset to the cold limit."
            );
        }
    }

    /// Returns a channel with the crashes of the endpoint from now on, for the
    /// control stream of one entry.
    #[must_use]
    pub fn subscribe_crashes(&self) -> Receiver<fleet::CrashReport> {
        let (tx, rx) = channel::bounded(CRASH_CHANNEL_CAPACITY);
        let mut subscribers = lock(&self.crash_subscribers);
        subscribers.retain(|tx| !tx.is_closed());
        subscribers.push(tx);
        rx
    }

    /// Notifies the connected entries of a crash. An entry whose channel is full
    /// receives the crash with the next report.
    pub fn notify_crash(&self, report: &fleet::CrashReport) {
        for tx in &*lock(&self.crash_subscribers) {
            if tx.try_send(report.clone()).is_err() {
                log::debug!(
                    "peer: crash channel of an entry is full or closed, the crash follows with the next report."
                );
            }
        }
    }

    /// Marks the start of a planned stop; new work is refused from then on.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Returns the current state of the endpoint for entries, without the offset
    /// of the last `control` record.
    #[must_use]
    pub fn report(&self) -> fleet::Report {
        let snapshot = self.control.snapshot();
        let status = self.engine_status();
        let service = match &self.cfg.endpoint {
            settings::EndpointSettings::Service { name } => Some(name.clone()),
            settings::EndpointSettings::Engine { .. } => None,
        };
        let is_leaving =
            snapshot.self_out_of_service || snapshot.is_self_leaving() || self.is_stopping();
        let report = fleet::Report {
            accepting: status.is_some() && snapshot.is_serving() && !is_leaving,
            leaving: snapshot.is_self_leaving(),
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

/// Shared handle to the state, held by each task.
pub type Shared = Arc<SidecarCx>;
