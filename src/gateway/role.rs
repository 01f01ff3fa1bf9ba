//! The role of an entry that calls endpoints itself.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::{Task, Timer};

use crate::control;
use crate::direct;
use crate::gateway;
use crate::gateway::{handler, readiness, strain};
use crate::http;
use crate::observe;
use crate::platform;
use crate::runtime;
use crate::settings;
use crate::units;

/// Interval at which unused connections are closed and limits of callers follow the configuration.
const SWEEP: Duration = Duration::from_secs(1);
/// Interval at which a stop looks whether requests are still being answered.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Time from the begin of a stop to the close of idle connections. Until then
/// callers may still use them, and learn with the answer that they close.
const CLOSE_IDLE_AFTER: Duration = Duration::from_secs(3);
/// Part of the grace time that a stop leaves unused.
const STOP_MARGIN: Duration = Duration::from_millis(250);
/// Descriptors that are not for callers: connections to endpoints and the store, files.
const OWN_DESCRIPTORS: u32 = 1_600;
/// Longest time in which a caller takes nothing, and longest idle time of its
/// connection before the configuration is known.
const CALLER_TIMEOUT: units::Millis = units::Millis(20_000);
/// Largest head that is read; the configuration's limit is checked afterwards.
const MAX_HEAD: units::Bytes = units::Bytes(32 * 1_024);

/// A running direct entry; dropping it ends its tasks.
#[derive(Debug)]
pub struct Gateway {
    cx: Arc<gateway::Cx>,
    store: platform::Store,
    callers: Arc<http::Server>,
    _readiness: http::Server,
    _metrics: Option<http::Server>,
    _tasks: Vec<Task<()>>,
}

impl Gateway {
    /// Starts the role.
    pub async fn spawn(settings: settings::Direct, traffic: &runtime::Traffic) -> io::Result<Self> {
        let world = direct::World::new(settings.clone());
        let (control, effects, _thread) = control::Control::spawn_plane(direct::Plane::new(world))?;
        let store = platform::Store::new(settings.store_addr, traffic.clone());
        let cx = gateway::Cx::new(settings.clone(), control.clone(), traffic.clone());
        let limits = settings::Limits {
            head_bytes: MAX_HEAD,
            send_timeout_ms: CALLER_TIMEOUT,
            max_connections: usize::try_from(
                settings
                    .max_descriptors
                    .saturating_sub(OWN_DESCRIPTORS)
                    .max(64),
            )
            .unwrap_or(usize::MAX),
            ..settings::Limits::default()
        };
        let front = Arc::new(handler::Front(Arc::clone(&cx)));
        let callers = http::Server::bind(settings.callers_addr, limits, traffic, front).await?;
        let callers = Arc::new(callers);
        let ready = Arc::new(readiness::Readiness(Arc::clone(&cx)));
        let readiness = http::Server::bind(
            settings.readiness_addr,
            settings::Limits::default(),
            traffic,
            ready,
        )
        .await?;
        let metrics = match settings.metrics_addr {
            Some(addr) => {
                let page = Arc::new(observe::MetricsPage);
                let limits = settings::Limits::default();
                Some(http::Server::bind(addr, limits, traffic, page).await?)
            }
            None => None,
        };
        let mut tasks = vec![
            traffic.spawn(direct::write(store.clone(), effects, control.clone())),
            traffic.spawn(sweep(Arc::clone(&cx), Arc::clone(&callers))),
            traffic.spawn(watch_timers(Arc::clone(&cx))),
        ];
        for source in [
            direct::Source::Operator,
            direct::Source::Endpoints,
            direct::Source::Reports,
        ] {
            let pace = direct::Pace::new(source, &settings.bounds);
            let follow = direct::follow(store.clone(), source, pace, control.clone());
            tasks.push(traffic.spawn(follow));
        }
        Ok(Self {
            cx,
            store,
            callers,
            _readiness: readiness,
            _metrics: metrics,
            _tasks: tasks,
        })
    }

    /// The address for callers.
    #[must_use]
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Puts changed settings in force.
    pub async fn reload(&self, settings: settings::Direct) {
        self.store.move_to(settings.store_addr);
        self.cx.set_settings(settings.clone());
        let changed = direct::Event::Settings(Box::new(settings));
        self.cx.control.send(changed).await;
    }

    /// Stops as planned, within the grace time of the settings.
    pub async fn stop(&self) {
        let began = Instant::now();
        self.cx.begin_stop();
        Timer::after(CLOSE_IDLE_AFTER).await;
        self.callers.close_idle();
        let grace = self.cx.settings().bounds.grace.duration();
        let deadline = began + grace.saturating_sub(STOP_MARGIN);
        while self.callers.active() > 0 && Instant::now() < deadline {
            Timer::after(DRAIN_POLL).await;
        }
        log::info!(target: "process", open_connections = self.callers.active(),
            after_ms:% = began.elapsed().as_millis(); "planned stop ends");
    }
}

/// Measures how late the traffic thread gets to its work.
async fn watch_timers(cx: Arc<gateway::Cx>) {
    loop {
        let due = Instant::now() + strain::INTERVAL;
        Timer::at(due).await;
        cx.timer_was_late(due.elapsed(), runtime::Moment::now());
    }
}

/// Applies now and then what needs not be applied at once.
async fn sweep(cx: Arc<gateway::Cx>, callers: Arc<http::Server>) {
    loop {
        Timer::after(SWEEP).await;
        let snapshot = cx.control.snapshot();
        cx.lanes.sweep(&snapshot);
        let deployment = snapshot.deployment.as_ref();
        let idle = deployment.and_then(|known| known.limits.idle);
        callers.set_idle(idle.unwrap_or(CALLER_TIMEOUT));
    }
}
