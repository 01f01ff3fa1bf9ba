//! Start and planned stop of an entry process.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::{Task, Timer};

use crate::admin;
use crate::control;
use crate::entry;
use crate::entry::cx;
use crate::entry::effects;
use crate::entry::evidence;
use crate::entry::handler;
use crate::entry::peers;
use crate::entry::usage;
use crate::estimate;
use crate::feed;
use crate::fleet;
use crate::http;
use crate::platform;
use crate::platform_clients;
use crate::route;
use crate::runtime;
use crate::session;
use crate::settings;
use crate::system;
use crate::wire;

/// Interval at which a planned stop polls for running requests and the lease.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Maximum time that a stop waits for the release of the lease to be recorded; the
/// log may be unavailable.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running entry. Dropping it cancels its tasks.
#[derive(Debug)]
pub struct Entry {
    cx: cx::Shared,
    server: http::Server,
    usage: Arc<usage::UsageWriter>,
    _tasks: Vec<Task<()>>,
}

impl Entry {
    /// Starts the tasks of the role and listens for callers. Fails if the session key
    /// cannot be read, or the address cannot be bound.
    pub async fn spawn(
        settings: &settings::Settings,
        cfg: &settings::EntrySettings,
        identity: fleet::Identity,
        node: wire::Node,
        traffic: runtime::Traffic,
    ) -> io::Result<Self> {
        let mut world = control::World::new(identity.clone());
        world.parallel_loads = cfg.parallel_loads;
        let (control, effect_rx, _thread) = control::Control::spawn(world, system::ENTRY)?;
        let links = entry::Links::new(
            identity.clone(),
            node.clone(),
            control.clone(),
            traffic.clone(),
        );
        let log = platform::LogClient::new(settings.platform.log_addr, traffic.clone());
        let calls = Arc::new(entry::CallRegistry::new(log.clone()));
        let ratings = Arc::new(new_ratings(settings, &identity, &traffic));
        let cx = Arc::new(cx::EntryCx {
            identity,
            cfg: cfg.clone(),
            control: control.clone(),
            traffic: traffic.clone(),
            links: links.clone(),
            session_key: read_session_key(cfg)?,
            outbox: Mutex::default(),
            calls: Arc::clone(&calls),
            ratings: Arc::clone(&ratings),
            retry_budget: Mutex::default(),
            callers_memory: http::BufferBudget::counting_all(cfg.limits.buffered_bytes),
            team_load: route::TeamLoad::default(),
        });
        let usage = Arc::new(usage::UsageWriter::new(Arc::clone(&cx), log.clone()));
        let inventory = platform_clients::InventoryClient::new(
            settings.platform.inventory_addr,
            traffic.clone(),
        );
        let tasks = vec![
            traffic.spawn(feed::follow_config(log.clone(), control.clone())),
            traffic.spawn(peers::accept(
                cx.identity.clone(),
                node,
                control.clone(),
                traffic.clone(),
            )),
            traffic.spawn(feed::follow_control(log.clone(), control.clone())),
            traffic.spawn(feed::follow_evidence(log.clone(), control.clone())),
            traffic.spawn(feed::follow_inventory(inventory, control)),
            traffic.spawn(effects::run(effect_rx, links, log.clone(), traffic.clone())),
            traffic.spawn(Arc::clone(&usage).run()),
            traffic.spawn(Arc::clone(&calls).follow()),
            traffic.spawn(calls.append_queued()),
            traffic.spawn(ratings.run()),
            traffic.spawn(evidence::run(Arc::clone(&cx), log.clone())),
        ];
        let admin = admin::AdminApi {
            token_digest: cfg.operator_token_sha256,
            control: cx.control.clone(),
            log: log.clone(),
            vm: cx.identity.vm.clone(),
            limits: cfg.limits,
        };
        let api = Arc::new(handler::CallerApi::new(Arc::clone(&cx), Arc::new(admin)));
        let memory = Arc::clone(&cx.callers_memory);
        let server =
            http::Server::bind_within(cfg.callers_addr, cfg.limits, &traffic, api, memory).await?;
        Ok(Self {
            cx,
            server,
            usage,
            _tasks: tasks,
        })
    }

    /// Returns the address at which callers are served.
    #[must_use]
    pub const fn callers_addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops accepting requests and waits until those accepted have been answered and
    /// their outcomes and usage are durable, at most until `deadline`, and then until the
    /// lease is released.
    pub async fn stop(&self, deadline: Instant) {
        self.cx.control.send(control::Event::Stop).await;
        self.server.close_idle();
        self.server.drain(deadline).await;
        while self.is_busy() && Instant::now() < deadline {
            Timer::after(DRAIN_POLL).await;
        }
        self.cx.calls.drain(deadline).await;
        self.usage.drain(deadline).await;
        self.wait_for_release().await;
        self.cx.control.close();
    }

    fn is_busy(&self) -> bool {
        self.server.active() > 0 || self.cx.team_load.total() > 0
    }

    /// Waits for the release of the lease. Another entry can acquire a released lease
    /// at once, but one that is left to expire only after 12 s.
    async fn wait_for_release(&self) {
        let until = Instant::now() + RELEASE_TIMEOUT;
        while self.cx.control.snapshot().held_fence.is_some() && Instant::now() < until {
            Timer::after(DRAIN_POLL).await;
        }
    }

    /// Returns the context that the tasks share.
    #[must_use]
    pub const fn cx(&self) -> &cx::Shared {
        &self.cx
    }
}

fn new_ratings(
    settings: &settings::Settings,
    identity: &fleet::Identity,
    traffic: &runtime::Traffic,
) -> entry::Ratings {
    let addr = settings.platform.rating_addr;
    let client = addr.map(|addr| platform_clients::RatingClient::new(addr, traffic.clone()));
    let collector = estimate::Collector::new(identity.vm.clone(), identity.incarnation);
    entry::Ratings::new(client, collector)
}

fn read_session_key(cfg: &settings::EntrySettings) -> io::Result<session::SessionKey> {
    let bytes = fs::read(&cfg.session_key_file)?;
    session::SessionKey::new(&bytes)
        .map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err.to_string()))
}
