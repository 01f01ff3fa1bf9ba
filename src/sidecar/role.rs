//! The running sidecar role: its tasks and its planned stop.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::{Task, Timer};

use crate::control;
use crate::errors;
use crate::feed;
use crate::fleet;
use crate::platform;
use crate::runtime;
use crate::settings;
use crate::sidecar::cx;
use crate::sidecar::health;
use crate::sidecar::server;
use crate::sidecar::slot;
use crate::sidecar::usage;
use crate::system;
use crate::wire;

/// Interval at which a planned stop checks whether requests are still running.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for notifying the peers that the node is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running sidecar; dropping it cancels its tasks.
#[derive(Debug)]
pub struct Sidecar {
    cx: cx::Shared,
    node: wire::Node,
    _tasks: Vec<Task<()>>,
}

impl Sidecar {
    /// Starts the control thread and the tasks of the role; errs if the thread cannot be started.
    pub fn spawn(
        settings: &settings::Settings,
        cfg: &settings::SidecarSettings,
        identity: fleet::Identity,
        node: wire::Node,
        traffic: &runtime::Traffic,
    ) -> io::Result<Self> {
        let (control, _effects, _thread) =
            control::Control::spawn(control::World::new(identity.clone()), system::SIDECAR)?;
        let log = platform::LogClient::new(settings.platform.log_addr, traffic.clone());
        let cx = Arc::new(cx::SidecarCx::new(
            identity,
            cfg,
            control.clone(),
            traffic.clone(),
            log.clone(),
        ));
        let tasks = vec![
            traffic.spawn(feed::follow_config(log.clone(), control.clone())),
            traffic.spawn(feed::follow_control(log, control)),
            traffic.spawn(health::watch(Arc::clone(&cx))),
            traffic.spawn(usage::append_unconfirmed(Arc::clone(&cx))),
            traffic.spawn(server::accept(Arc::clone(&cx), node.clone())),
        ];
        Ok(Self {
            cx,
            node,
            _tasks: tasks,
        })
    }

    /// Performs a planned stop: refuses waiting work as not run, lets running
    /// work finish and appends unconfirmed usage records, both until `deadline`,
    /// and then closes the connections.
    pub async fn stop(&self, deadline: Instant) {
        self.cx.set_stopping();
        self.cx.control.send(control::Event::Stop).await;
        let refusal = errors::Refusal::new(errors::ResultCode::Draining, "the process is stopping");
        slot::refuse_waiting(&self.cx, &refusal);
        while self.is_busy() && Instant::now() < deadline {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        usage::flush(&self.cx, deadline).await;
        self.node.close();
        let _ = runtime::timeout_at(Instant::now() + CLOSE_TIMEOUT, self.node.wait_idle()).await;
        self.cx.control.close();
    }

    /// Returns whether requests are running or replies have not all been received.
    fn is_busy(&self) -> bool {
        self.cx.with_admission(|adm| adm.gate().running()) > 0 || self.cx.streams.get() > 0
    }

    /// Returns the state that the tasks share.
    #[must_use]
    pub const fn cx(&self) -> &cx::Shared {
        &self.cx
    }
}
