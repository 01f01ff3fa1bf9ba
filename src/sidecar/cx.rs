//! What the tasks of a sidecar share.

use std::sync::{Arc, Mutex, PoisonError};

use crate::admission;
use crate::control;
use crate::fleet;
use crate::runtime;
use crate::settings;
use crate::sidecar;

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
    /// The engine.
    pub engine: sidecar::Engine,
    /// Admission.
    pub gate: Mutex<admission::Gate>,
    /// What the engine said of itself last.
    pub status: Mutex<Option<sidecar::EngineStatus>>,
}

impl SidecarCx {
    /// Runs `f` on the gate.
    pub fn with_gate<T>(&self, f: impl FnOnce(&mut admission::Gate) -> T) -> T {
        f(&mut self.gate.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// What the engine said of itself last.
    #[must_use]
    pub fn engine_status(&self) -> Option<sidecar::EngineStatus> {
        self.status
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The state of the endpoint.
    #[must_use]
    pub fn report(&self) -> fleet::Report {
        let snapshot = self.control.snapshot();
        let (running, limit) = self.with_gate(|gate| (gate.running(), gate.limit()));
        let status = self.engine_status();
        fleet::Report {
            accepting: status.is_some() && snapshot.is_serving() && !snapshot.self_out,
            versions: status.map(|status| status.versions).unwrap_or_default(),
            running,
            limit,
            max: self.cfg.max_concurrent,
            warmth: fleet::Warmth::Warm,
            config: snapshot.config,
            ..fleet::Report::default()
        }
    }
}

/// Shared by the tasks.
pub type Shared = Arc<SidecarCx>;
