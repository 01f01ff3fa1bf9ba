//! What all requests of a direct entry share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::balance;
use crate::control;
use crate::direct;
use crate::gateway::{lanes, strain};
use crate::ids;
use crate::runtime;
use crate::settings;

/// Part of the bound on withdrawn keys after which the configuration is too
/// old to send callers here: keyed requests will soon be refused.
const READY_PART: f64 = 0.6;

/// Why callers should go to another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum NotReady {
    /// A planned stop has begun.
    Stopping,
    /// The configuration is not known yet.
    NoConfiguration,
    /// It is not known whether the configuration is current.
    ConfigurationTooOld,
    /// No endpoint is known.
    NoEndpoints,
    /// Work waits too long for the processor.
    Strained,
}

/// What this entry keeps of a service.
#[derive(Debug)]
struct ServiceState {
    window: balance::RetryWindow,
    pressure: balance::Pressure,
}

/// Shared context of requests.
#[derive(Debug)]
pub struct Cx {
    settings: ArcSwap<settings::Direct>,
    /// The control thread.
    pub control: control::Control<direct::Plane>,
    /// Connections to endpoints.
    pub lanes: lanes::Lanes,
    services: Mutex<HashMap<ids::ServiceName, ServiceState>>,
    /// When a planned stop began, in milliseconds of the moment; 0 before.
    stopping: AtomicU64,
    strain: Mutex<strain::Strain>,
}

impl Cx {
    /// A context without requests.
    #[must_use]
    pub fn new(
        settings: settings::Direct,
        control: control::Control<direct::Plane>,
        traffic: runtime::Traffic,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings: ArcSwap::from_pointee(settings),
            control,
            lanes: lanes::Lanes::new(traffic),
            services: Mutex::default(),
            stopping: AtomicU64::new(0),
            strain: Mutex::default(),
        })
    }

    /// Settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<settings::Direct> {
        self.settings.load_full()
    }

    /// Puts other settings in force. Addresses on which the process listens
    /// stay until its next start.
    pub fn set_settings(&self, settings: settings::Direct) {
        self.settings.store(Arc::new(settings));
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &ids::ServiceName, now: runtime::Moment) {
        self.with_service(service, |state| state.window.request(now));
    }

    /// Takes a repeat of the service's budget; false where none is left.
    pub fn try_repeat(&self, service: &ids::ServiceName, now: runtime::Moment) -> bool {
        self.with_service(service, |state| state.window.try_repeat(now))
    }

    /// Takes a repeat that only makes the answer better; false where none is left.
    pub fn try_optional(&self, service: &ids::ServiceName, now: runtime::Moment) -> bool {
        self.with_service(service, |state| state.window.try_optional(now))
    }

    /// Counts an answer that began after `first`.
    pub fn count_first(&self, service: &ids::ServiceName, first: Duration, objective: Duration) {
        self.with_service(service, |state| state.pressure.add(first, objective));
    }

    /// How busy a service is.
    #[must_use]
    pub fn pressure(&self, service: &ids::ServiceName) -> balance::Pressure {
        self.with_service(service, |state| state.pressure)
    }

    fn with_service<T>(
        &self,
        service: &ids::ServiceName,
        run: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = services.get_mut(service) {
            return run(state);
        }
        let bounds = self.settings().bounds;
        let state = ServiceState {
            window: balance::RetryWindow::new(bounds.retry_ratio, bounds.retry_window),
            pressure: balance::Pressure::default(),
        };
        run(services.entry(service.clone()).or_insert(state))
    }

    /// A timer of the traffic thread was late by `lag`.
    pub fn timer_was_late(&self, lag: Duration, now: runtime::Moment) {
        let mut strain = self.strain.lock().unwrap_or_else(PoisonError::into_inner);
        match strain.timer(lag, now) {
            strain::Change::None => {}
            strain::Change::Begins => {
                log::warn!(target: "process", lag_ms:% = lag.as_millis();
                    "work waits for the processor, callers are sent elsewhere");
            }
            strain::Change::Ends => {
                log::info!(target: "process", "work begins in time again, callers are taken");
            }
        }
    }

    /// Whether callers should come here.
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
            let limit = revoke.duration().mul_f64(READY_PART);
            snapshot.freshness.age(now).is_none_or(|age| age > limit)
        });
        if is_old {
            return Err(NotReady::ConfigurationTooOld);
        }
        if !snapshot.can_serve() {
            return Err(NotReady::NoEndpoints);
        }
        let strain = self.strain.lock().unwrap_or_else(PoisonError::into_inner);
        if strain.is_on(now) {
            return Err(NotReady::Strained);
        }
        Ok(())
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        let now = runtime::Moment::now().as_millis().max(1);
        self.stopping.store(now, Ordering::Release);
    }

    /// Time since the planned stop began; `None` before.
    #[must_use]
    pub fn stopping_for(&self, now: runtime::Moment) -> Option<Duration> {
        let began = self.stopping.load(Ordering::Acquire);
        (began > 0).then(|| now.since(runtime::Moment::from_millis(began)))
    }
}
