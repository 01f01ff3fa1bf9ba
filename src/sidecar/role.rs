//! A running process beside an endpoint.

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
use crate::sidecar::place;
use crate::sidecar::server;
use crate::sidecar::usage;
use crate::system;
use crate::wire;

/// Interval at which a stop looks whether requests are still running.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time in which the peers are told of the close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running sidecar; dropping it ends its tasks.
#[derive(Debug)]
pub struct Sidecar {
    cx: cx::Shared,
    node: wire::Node,
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
        let log = platform::LogClient::new(settings.platform.log_addr, traffic.clone());
        let cx = Arc::new(cx::SidecarCx::new(
            me,
            cfg,
            control.clone(),
            traffic.clone(),
            log.clone(),
        ));
        let tasks = vec![
            traffic.spawn(feed::follow_config(log.clone(), control.clone())),
            traffic.spawn(feed::follow_control(log, control)),
            traffic.spawn(health::watch(Arc::clone(&cx))),
            traffic.spawn(usage::follow(Arc::clone(&cx))),
            traffic.spawn(server::accept(Arc::clone(&cx), node.clone())),
        ];
        Ok(Self {
            cx,
            node,
            _tasks: tasks,
        })
    }

    /// Stops as planned: waiting work is refused as not run, running work
    /// ends, unconfirmed usage is appended, and the peers are told of the close.
    pub async fn stop(&self, deadline: Instant) {
        self.cx.set_stopping();
        self.cx.control.send(control::Event::Stop).await;
        let refusal = errors::Refusal::new(errors::ResultCode::Draining, "the process is stopping");
        place::refuse_waiting(&self.cx, &refusal);
        while self.is_busy() && Instant::now() < deadline {
            Timer::after(DRAIN_POLL).await;
        }
        usage::flush(&self.cx, deadline).await;
        self.node.close();
        let _ = runtime::timeout_at(Instant::now() + CLOSE_TIMEOUT, self.node.wait_idle()).await;
        self.cx.control.close();
    }

    /// Whether requests run or replies are on their way.
    fn is_busy(&self) -> bool {
        self.cx.with_admission(|adm| adm.gate().running()) > 0 || self.cx.streams.get() > 0
    }

    /// What the tasks share.
    #[must_use]
    pub const fn cx(&self) -> &cx::Shared {
        &self.cx
    }
}
