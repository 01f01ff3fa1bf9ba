//! What all requests of a direct entry share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::balance;
use crate::control;
use crate::direct;
use crate::gateway::lanes;
use crate::ids;
use crate::runtime;
use crate::settings;

/// Shared context of requests.
#[derive(Debug)]
pub struct Cx {
    settings: ArcSwap<settings::Direct>,
    /// The control thread.
    pub control: control::Control<direct::Plane>,
    /// Connections to endpoints.
    pub lanes: lanes::Lanes,
    windows: Mutex<HashMap<ids::ServiceName, balance::RetryWindow>>,
    /// When a planned stop began, in milliseconds of the moment; 0 before.
    stopping: AtomicU64,
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
            windows: Mutex::default(),
            stopping: AtomicU64::new(0),
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
        self.with_window(service, |window| window.request(now));
    }

    /// Takes a repeat of the service's budget; false where none is left.
    pub fn try_repeat(&self, service: &ids::ServiceName, now: runtime::Moment) -> bool {
        self.with_window(service, |window| window.try_repeat(now))
    }

    fn with_window<T>(
        &self,
        service: &ids::ServiceName,
        run: impl FnOnce(&mut balance::RetryWindow) -> T,
    ) -> T {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(window) = windows.get_mut(service) {
            return run(window);
        }
        let bounds = self.settings().bounds;
        let window = balance::RetryWindow::new(bounds.retry_ratio, bounds.retry_window);
        run(windows.entry(service.clone()).or_insert(window))
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
