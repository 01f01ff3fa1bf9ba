//! A running process beside an endpoint.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use smol::{Task, Timer};

use crate::admission;
use crate::control;
use crate::feed;
use crate::fleet;
use crate::platform;
use crate::runtime;
use crate::settings;
use crate::sidecar;
use crate::sidecar::cx;
use crate::sidecar::server;
use crate::system;
use crate::wire;

/// Interval at which the engine is asked for its status.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a stop looks whether requests are still running.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A running sidecar; dropping it ends its tasks.
#[derive(Debug)]
pub struct Sidecar {
    cx: cx::Shared,
    _tasks: Vec<Task<()>>,
}

impl Sidecar {
    /// Starts the role.
    pub fn spawn(
        settings: &settings::Settings,
        cfg: &settings::SidecarSettings,
        me: fleet::Identity,
        node: wire::Node,
        traffic: &runtime::Traffic,
    ) -> io::Result<Self> {
        let (control, _effects, _thread) =
            control::Control::spawn(control::World::new(me.clone()), system::SIDECAR)?;
        let cx = Arc::new(cx::SidecarCx {
            me,
            cfg: cfg.clone(),
            control: control.clone(),
            traffic: traffic.clone(),
            engine: sidecar::Engine::new(cfg.endpoint_addr, traffic.clone()),
            gate: Mutex::new(admission::Gate::new(cfg.max_concurrent)),
            status: Mutex::default(),
        });
        let log = platform::LogClient::new(settings.platform.log_addr, traffic.clone());
        let tasks = vec![
            traffic.spawn(feed::follow_config(log.clone(), control.clone())),
            traffic.spawn(feed::follow_control(log, control)),
            traffic.spawn(watch_engine(Arc::clone(&cx))),
            traffic.spawn(server::accept(Arc::clone(&cx), node)),
        ];
        Ok(Self { cx, _tasks: tasks })
    }

    /// Stops taking new work and waits until running requests have ended.
    pub async fn stop(&self, deadline: Instant) {
        self.cx.control.send(control::Event::Stop).await;
        while self.cx.with_gate(|gate| gate.running()) > 0 && Instant::now() < deadline {
            Timer::after(DRAIN_POLL).await;
        }
        self.cx.control.close();
    }

    /// What the tasks share.
    #[must_use]
    pub const fn cx(&self) -> &cx::Shared {
        &self.cx
    }
}

async fn watch_engine(cx: cx::Shared) {
    loop {
        let status = match cx.engine.status().await {
            Ok(status) => Some(status),
            Err(err) => {
                log::warn!("admit: the engine does not answer: {err}.");
                None
            }
        };
        *cx.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
        Timer::after(STATUS_INTERVAL).await;
    }
}
