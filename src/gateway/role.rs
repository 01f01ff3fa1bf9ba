//! The direct role: an entry that calls endpoints without sidecars.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::channel;
use smol::{Task, Timer};

use crate::control;
use crate::direct;
use crate::gateway;
use crate::gateway::{handler, overload, peering, readiness};
use crate::http;
use crate::observe;
use crate::peers;
use crate::platform;
use crate::runtime;
use crate::settings;
use crate::units;

/// Interval at which idle connections are closed and the time limits of callers are updated
/// from the configuration.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time from the begin of a planned stop to the close of idle connections. Until then
/// callers may still use them, and are notified by the `Connection: close` of the answer.
const CLOSE_IDLE_AFTER: Duration = Duration::from_secs(3);
/// Time before the end of the grace period at which a planned stop ends.
const STOP_MARGIN: Duration = Duration::from_millis(250);
/// File descriptors reserved for connections to endpoints and the store, and for files.
const RESERVED_DESCRIPTORS: u32 = 1_600;
/// Time limit for a caller that reads nothing of its answer, and idle time of its
/// connection until the configuration states one.
const CALLER_TIMEOUT: units::Millis = units::Millis(20_000);
/// Maximum head that is read; the limit of the configuration is checked afterwards.
const MAX_HEAD_SIZE: units::Bytes = units::Bytes(32 * 1_024);

/// Limits on readiness checks and metrics. Their connections are few, so that a crowd at
/// these addresses takes neither memory nor descriptors from callers.
const CONTROL_LIMITS: settings::Limits = settings::Limits {
    max_connections: 32,
    ..settings::Limits::DEFAULT
};

/// A running direct entry. Dropping it stops its tasks.
#[derive(Debug)]
pub struct Gateway {
    cx: Arc<gateway::Cx>,
    store: platform::StoreClient,
    callers: Arc<http::Server>,
    _readiness: http::Server,
    _metrics: Option<http::Server>,
    _peering: Option<peering::Peering>,
    _tasks: Vec<Task<()>>,
}

impl Gateway {
    /// Starts the listeners and tasks of the role. Fails if an address cannot be bound or
    /// the control thread cannot start.
    pub async fn spawn(settings: settings::Direct, traffic: &runtime::Traffic) -> io::Result<Self> {
        let world = direct::World::new(settings.clone());
        let (control, effects, _thread) = control::Control::spawn_plane(direct::Plane::new(world))?;
        let store = platform::StoreClient::new(settings.store_addr, traffic.clone());
        let cx = gateway::Cx::new(settings.clone(), control.clone(), traffic.clone());
        let limits = settings::Limits {
            head_bytes: MAX_HEAD_SIZE,
            send_timeout_ms: CALLER_TIMEOUT,
            max_connections: usize::try_from(
                settings
                    .max_descriptors
                    .saturating_sub(RESERVED_DESCRIPTORS)
                    .max(64),
            )
            .unwrap_or(usize::MAX),
            ..settings::Limits::default()
        };
        let caller_handler = Arc::new(handler::CallerHandler(Arc::clone(&cx)));
        let memory = Arc::clone(&cx.callers_memory);
        let addr = settings.callers_addr;
        let callers =
            http::Server::bind_within(addr, limits, traffic, caller_handler, memory).await?;
        let callers = Arc::new(callers);
        let readiness_handler = Arc::new(readiness::Readiness(Arc::clone(&cx)));
        let readiness = http::Server::bind(
            settings.readiness_addr,
            CONTROL_LIMITS,
            traffic,
            readiness_handler,
        )
        .await?;
        let metrics = match settings.metrics_addr {
            Some(addr) => {
                let page = Arc::new(observe::MetricsHandler);
                Some(http::Server::bind(addr, CONTROL_LIMITS, traffic, page).await?)
            }
            None => None,
        };
        let peering = peering::Peering::bind(&settings, &store, traffic).await;
        let alone = peers::Member {
            vm: settings.vm.clone(),
            place: None,
        };
        let member = peering
            .as_ref()
            .map_or(alone, |peering| peering.member(&settings));
        let (exchange_tx, exchanges) = channel::bounded(1);
        let shared_exchange = peering.as_ref().map(|peering| peering.exchange(&settings));
        let mut tasks = vec![
            traffic.spawn(direct::write(
                store.clone(),
                effects,
                exchange_tx,
                control.clone(),
            )),
            traffic.spawn(direct::exchange(
                store.clone(),
                exchanges,
                shared_exchange,
                control.clone(),
            )),
            traffic.spawn(direct::join(
                store.clone(),
                member,
                settings.leases,
                control.clone(),
            )),
            traffic.spawn(sweep(Arc::clone(&cx), Arc::clone(&callers))),
            traffic.spawn(watch_timers(Arc::clone(&cx))),
        ];
        for source in [
            direct::Source::Operator,
            direct::Source::Endpoints,
            direct::Source::Reports,
        ] {
            let poll = direct::PollSettings::new(source, &settings.bounds);
            let shared = peering
                .as_ref()
                .map(|peering| peering.reads(source, &settings.bounds));
            let follow = direct::follow(store.clone(), source, poll, shared, control.clone());
            tasks.push(traffic.spawn(follow));
        }
        Ok(Self {
            cx,
            store,
            callers,
            _readiness: readiness,
            _metrics: metrics,
            _peering: peering,
            _tasks: tasks,
        })
    }

    /// Returns the address on which callers are served.
    #[must_use]
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Applies changed settings. Listen addresses change only with the next start of the
    /// process.
    pub async fn reload(&self, settings: settings::Direct) {
        self.store.set_address(settings.store_addr);
        self.cx.set_settings(settings.clone());
        let changed = direct::Event::Settings(Box::new(settings));
        self.cx.control.send(changed).await;
    }

    /// Performs a planned stop: waits for requests in progress, at most for the grace
    /// period of the settings.
    pub async fn stop(&self) {
        let began = Instant::now();
        self.cx.begin_stop();
        Timer::after(CLOSE_IDLE_AFTER).await;
        self.callers.close_idle();
        let grace = self.cx.settings().bounds.grace.duration();
        let deadline = began + grace.saturating_sub(STOP_MARGIN);
        self.callers.drain(deadline).await;
        log::info!(target: "process", open_connections = self.callers.active(),
            after_ms:% = began.elapsed().as_millis(); "planned stop complete");
    }
}

/// Measures the scheduling delay of the traffic thread by the lateness of a timer.
async fn watch_timers(cx: Arc<gateway::Cx>) {
    loop {
        let due = Instant::now() + overload::TIMER_INTERVAL;
        Timer::at(due).await;
        cx.record_timer_delay(due.elapsed(), runtime::Moment::now());
    }
}

/// Closes idle connections to endpoints and updates the time limits of callers, at every
/// interval.
async fn sweep(cx: Arc<gateway::Cx>, callers: Arc<http::Server>) {
    loop {
        Timer::after(SWEEP_INTERVAL).await;
        let snapshot = cx.control.snapshot();
        cx.pools.sweep(&snapshot);
        let deployment = snapshot.deployment.as_ref();
        let limits = deployment.map(|known| &known.limits);
        let idle = limits.and_then(|limits| limits.idle);
        callers.set_idle(idle.unwrap_or(CALLER_TIMEOUT));
        let head_time = limits.and_then(|limits| limits.head_time);
        callers.set_head_time(head_time.unwrap_or(CALLER_TIMEOUT));
    }
}
