//! State shared by all requests of a direct entry.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use event_listener::{Event, EventListener};

use crate::balance;
use crate::control;
use crate::direct;
use crate::gateway::{overload, pools};
use crate::http;
use crate::ids;
use crate::poison;
use crate::room;
use crate::runtime;
use crate::settings;
use crate::units;

/// Fraction of the limit on the use of withdrawn keys at which the configuration is too
/// old for the entry to be ready: requests with keys will soon be refused.
const MAX_READY_AGE_FRACTION: f64 = 0.6;

/// Fraction of the memory for traffic that callers' connections and requests may hold;
/// bodies are kept until their answers are complete.
const CALLERS_MEMORY: f64 = 0.55;
/// Fraction for the answers of endpoints.
const ANSWERS_MEMORY: f64 = 0.2;

/// Reason why the entry is not ready; the readiness response carries its snake-case name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum NotReady {
    /// A planned stop of the process has begun.
    Stopping,
    /// No configuration has been read from the store yet.
    NoConfiguration,
    /// The last proof that the configuration is current is too old or missing.
    ConfigurationTooOld,
    /// No endpoint is known that can serve a request.
    NoEndpoints,
    /// The process is overloaded by scheduling delay: work waits too long for a
    /// processor.
    Strained,
}

/// Retry budget, load pressure, reading speed, proven prompt parts and room of one service
/// at this entry.
#[derive(Debug)]
struct ServiceState {
    window: balance::RetryWindow,
    pressure: balance::Pressure,
    reading_speed: balance::ReadingSpeed,
    writing_speed: balance::WritingSpeed,
    answered_parts: poison::AnsweredParts,
    room: room::ServiceRoom,
}

/// Context that all requests of a direct entry share.
#[derive(Debug)]
pub struct Cx {
    settings: ArcSwap<settings::Direct>,
    /// Handle to the control thread, which publishes snapshots.
    pub control: control::Control<direct::Plane>,
    /// Memory for callers' connections and requests.
    pub callers_memory: Arc<http::BufferBudget>,
    /// Pools of connections to endpoints.
    pub pools: pools::Pools,
    services: Mutex<HashMap<ids::ServiceName, ServiceState>>,
    /// Time at which a planned stop began, in milliseconds as of [`runtime::Moment`]; 0
    /// before.
    stop_began_ms: AtomicU64,
    overload: Mutex<overload::OverloadDetector>,
    returns: Mutex<room::ReturnTimes>,
    doubts: Mutex<poison::Doubts>,
    /// Notified when a place may be left at an endpoint or in the line for one.
    room_changed: Event,
}

impl Cx {
    /// Creates a context for a process that has served no request yet.
    #[must_use]
    pub fn new(
        settings: settings::Direct,
        control: control::Control<direct::Plane>,
        traffic: runtime::Traffic,
    ) -> Arc<Self> {
        let resident = runtime::resident_bytes();
        let part = |fraction| settings.traffic_memory(resident, fraction);
        Arc::new(Self {
            control,
            pools: pools::Pools::new(traffic, part(ANSWERS_MEMORY)),
            callers_memory: http::BufferBudget::counting_all(part(CALLERS_MEMORY)),
            services: Mutex::default(),
            settings: ArcSwap::from_pointee(settings),
            stop_began_ms: AtomicU64::new(0),
            overload: Mutex::default(),
            returns: Mutex::default(),
            doubts: Mutex::default(),
            room_changed: Event::new(),
        })
    }

    /// Returns the settings that are in force.
    #[must_use]
    pub fn settings(&self) -> Arc<settings::Direct> {
        self.settings.load_full()
    }

    /// Replaces the settings. Listen addresses change only with the next start of the
    /// process.
    pub fn set_settings(&self, settings: settings::Direct) {
        self.settings.store(Arc::new(settings));
    }

    /// Records the arrival of a request, whether it is admitted or not.
    pub fn record_arrival(&self, now: runtime::Moment) {
        self.lock_returns().record_arrival(now);
    }

    /// Returns when a refused caller should return, not before `earliest` and apart from
    /// other refused callers.
    pub fn book_return(&self, earliest: units::Millis, time_left: Duration) -> units::Millis {
        let now = runtime::Moment::now();
        let delay = self
            .lock_returns()
            .book(earliest.duration(), time_left, now);
        delay.into()
    }

    fn lock_returns(&self) -> MutexGuard<'_, room::ReturnTimes> {
        self.returns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request towards the retry budget of its service.
    pub fn count_request(&self, service: &ids::ServiceName, now: runtime::Moment) {
        self.with_service(service, |state| state.window.record_request(now));
    }

    /// Takes a retry from the service's budget. Returns false if none is left.
    pub fn take_retry(&self, service: &ids::ServiceName, now: runtime::Moment) -> bool {
        self.with_service(service, |state| state.window.take_retry(now))
    }

    /// Takes a retry that only improves the answer, from the smaller budget for those.
    /// Returns false if none is left.
    pub fn take_optional_retry(&self, service: &ids::ServiceName, now: runtime::Moment) -> bool {
        self.with_service(service, |state| state.window.take_optional_retry(now))
    }

    /// Records the time from the send to the first event of an answer, relative to the
    /// latency objective.
    pub fn record_first_event(
        &self,
        service: &ids::ServiceName,
        first: Duration,
        objective: Duration,
    ) {
        let now = runtime::Moment::now();
        self.with_service(service, |state| state.pressure.add(first, objective, now));
    }

    /// Returns how late the service's answers begin, relative to their latency objective.
    #[must_use]
    pub fn pressure(&self, service: &ids::ServiceName) -> balance::Pressure {
        self.with_service(service, |state| state.pressure)
    }

    /// Records how long an endpoint took to begin its answer to a prompt of which it had
    /// to read `unread` tokens.
    pub fn record_reading(
        &self,
        service: &ids::ServiceName,
        model: usize,
        unread: units::Tokens,
        first: Duration,
    ) {
        self.with_service(service, |state| {
            state.reading_speed.record(model, unread, first);
        });
    }

    /// Returns the speed at which the service's engines read prompts for a model.
    #[must_use]
    pub fn reading_speed(&self, service: &ids::ServiceName, model: usize) -> units::Rate {
        self.with_service(service, |state| state.reading_speed.get(model))
    }

    /// Records the time between two events of an answer, at an engine of usual speed.
    pub fn record_event_gap(&self, service: &ids::ServiceName, gap: Duration) {
        self.with_service(service, |state| state.writing_speed.record_gap(gap));
    }

    /// Records the number of events of a complete answer of which `expected` tokens were
    /// expected.
    pub fn record_length(&self, service: &ids::ServiceName, expected: units::Tokens, events: u32) {
        self.with_service(service, |state| {
            state.writing_speed.record_length(expected, events);
        });
    }

    /// Returns how fast the service's engines write.
    #[must_use]
    pub fn writing_speed(&self, service: &ids::ServiceName) -> balance::WritingSpeed {
        self.with_service(service, |state| state.writing_speed)
    }

    /// Records a complete answer of the service to a prompt with these parts.
    pub fn record_answered_parts(&self, service: &ids::ServiceName, parts: &[ids::Fingerprint]) {
        let now = runtime::Moment::now();
        self.with_service(service, |state| state.answered_parts.record(parts, now));
    }

    /// Returns the parts that may have crashed an endpoint of the service just now.
    #[must_use]
    pub fn suspected_parts(
        &self,
        service: &ids::ServiceName,
        parts: &[ids::Fingerprint],
    ) -> Vec<ids::Fingerprint> {
        let now = runtime::Moment::now();
        self.with_service(service, |state| state.answered_parts.suspects(parts, now))
    }

    /// Returns whether the service has answered a prompt with the part lately.
    #[must_use]
    pub fn is_proven_part(&self, service: &ids::ServiceName, part: ids::Fingerprint) -> bool {
        let now = runtime::Moment::now();
        self.with_service(service, |state| state.answered_parts.is_proven(part, now))
    }

    /// Reads or updates the executions that were given up.
    pub fn with_doubts<T>(&self, update: impl FnOnce(&mut poison::Doubts) -> T) -> T {
        let mut doubts = self.doubts.lock().unwrap_or_else(PoisonError::into_inner);
        update(&mut doubts)
    }

    /// Reads or updates what is known of the room of a service.
    pub fn with_room<T>(
        &self,
        service: &ids::ServiceName,
        update: impl FnOnce(&mut room::ServiceRoom) -> T,
    ) -> T {
        self.with_service(service, |state| update(&mut state.room))
    }

    /// Tells requests that wait for a place that one may be left.
    pub fn notify_room(&self) {
        self.room_changed.notify(usize::MAX);
    }

    /// Returns a listener for the next change of the room of any service.
    #[must_use]
    pub fn next_room_change(&self) -> EventListener {
        self.room_changed.listen()
    }

    fn with_service<T>(
        &self,
        service: &ids::ServiceName,
        update: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = services.get_mut(service) {
            return update(state);
        }
        let bounds = self.settings().bounds;
        let state = ServiceState {
            window: balance::RetryWindow::new(bounds.retry_ratio, bounds.retry_window),
            pressure: balance::Pressure::default(),
            reading_speed: balance::ReadingSpeed::default(),
            writing_speed: balance::WritingSpeed::default(),
            answered_parts: poison::AnsweredParts::default(),
            room: room::ServiceRoom::default(),
        };
        update(services.entry(service.clone()).or_insert(state))
    }

    /// Records that a timer of the traffic thread fired `lag` late, and logs when an
    /// overload starts or ends.
    pub fn record_timer_delay(&self, lag: Duration, now: runtime::Moment) {
        let mut overload = self.overload.lock().unwrap_or_else(PoisonError::into_inner);
        match overload.record_timer(lag, now) {
            overload::Transition::None => {}
            overload::Transition::Started => {
                log::warn!(target: "process", lag_ms:% = lag.as_millis();
                    "work waits for the processor, callers are sent elsewhere");
            }
            overload::Transition::Ended => {
                log::info!(target: "process", "work begins in time again, callers are taken");
            }
        }
    }

    /// Checks whether callers should use this entry. The error is the first reason
    /// against it.
    pub fn readiness(&self, now: runtime::Moment) -> Result<(), NotReady> {
        if self.stopping_for(now).is_some() {
            return Err(NotReady::Stopping);
        }
        let snapshot = self.control.snapshot();
        if snapshot.deployment.is_none() {
            return Err(NotReady::NoConfiguration);
        }
        let revoke = self.settings().bounds.revoke;
        let is_old = revoke.is_some_and(|revoke| {
            let limit = revoke.duration().mul_f64(MAX_READY_AGE_FRACTION);
            snapshot.freshness.age(now).is_none_or(|age| age > limit)
        });
        if is_old {
            return Err(NotReady::ConfigurationTooOld);
        }
        if !snapshot.can_serve() {
            return Err(NotReady::NoEndpoints);
        }
        let overload = self.overload.lock().unwrap_or_else(PoisonError::into_inner);
        if overload.is_overloaded(now) {
            return Err(NotReady::Strained);
        }
        Ok(())
    }

    /// Starts a planned stop: the entry is not ready any more.
    pub fn begin_stop(&self) {
        let now = runtime::Moment::now().as_millis().max(1);
        self.stop_began_ms.store(now, Ordering::Release);
    }

    /// Returns the time since the planned stop began; `None` before.
    #[must_use]
    pub fn stopping_for(&self, now: runtime::Moment) -> Option<Duration> {
        let began = self.stop_began_ms.load(Ordering::Acquire);
        (began > 0).then(|| now.saturating_since(runtime::Moment::from_millis(began)))
    }
}
