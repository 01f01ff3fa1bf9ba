//! A running entry.

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
use crate::route;
use crate::runtime;
use crate::services;
use crate::session;
use crate::settings;
use crate::system;
use crate::wire;

/// Interval at which a stop looks whether requests are still being answered.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time that a stop waits for the lease's release to be on record; the log may be down.
const RELEASE_LIMIT: Duration = Duration::from_secs(2);

/// A running entry; dropping it ends its tasks.
#[derive(Debug)]
pub struct Entry {
    cx: cx::Shared,
    server: http::Server,
    usage: Arc<usage::UsageWriter>,
    _tasks: Vec<Task<()>>,
}

impl Entry {
    /// Starts the role.
    pub async fn spawn(
        settings: &settings::Settings,
        cfg: &settings::EntrySettings,
        me: fleet::Identity,
        node: wire::Node,
        traffic: runtime::Traffic,
    ) -> io::Result<Self> {
        let mut world = control::World::new(me.clone());
        world.parallel_loads = cfg.parallel_loads;
        let (control, effect_rx, _thread) = control::Control::spawn(world, system::ENTRY)?;
        let links = entry::Links::new(me.clone(), node.clone(), control.clone(), traffic.clone());
        let log = platform::LogClient::new(settings.platform.log_addr, traffic.clone());
        let calls = Arc::new(entry::CallBook::new(log.clone()));
        let ratings = Arc::new(ratings(settings, &me, &traffic));
        let cx = Arc::new(cx::EntryCx {
            me,
            cfg: cfg.clone(),
            control: control.clone(),
            traffic: traffic.clone(),
            links: links.clone(),
            session_key: session_key(cfg)?,
            outbox: Mutex::default(),
            calls: Arc::clone(&calls),
            ratings: Arc::clone(&ratings),
            retries: Mutex::default(),
            teams: route::TeamLoad::default(),
        });
        let usage = Arc::new(usage::UsageWriter::new(Arc::clone(&cx), log.clone()));
        let inventory = services::Inventory::new(settings.platform.inventory_addr, traffic.clone());
        let tasks = vec![
            traffic.spawn(feed::follow_config(log.clone(), control.clone())),
            traffic.spawn(peers::accept(
                cx.me.clone(),
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
            traffic.spawn(calls.commit()),
            traffic.spawn(ratings.run()),
            traffic.spawn(evidence::run(Arc::clone(&cx), log.clone())),
        ];
        let admin = admin::AdminApi {
            token: cfg.operator_token_sha256,
            control: cx.control.clone(),
            log: log.clone(),
            vm: cx.me.vm.clone(),
            limits: cfg.limits,
        };
        let api = Arc::new(handler::CallerApi::new(Arc::clone(&cx), Arc::new(admin)));
        let server = http::Server::bind(cfg.callers_addr, cfg.limits, &traffic, api).await?;
        Ok(Self {
            cx,
            server,
            usage,
            _tasks: tasks,
        })
    }

    /// The address for callers.
    #[must_use]
    pub const fn callers_addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops taking new work and waits until accepted requests have been
    /// answered and their usage is durable.
    pub async fn stop(&self, deadline: Instant) {
        self.cx.control.send(control::Event::Stop).await;
        self.server.close_idle();
        while self.is_busy() && Instant::now() < deadline {
            Timer::after(DRAIN_POLL).await;
        }
        self.cx.calls.drain(deadline).await;
        self.usage.drain(deadline).await;
        self.wait_for_release().await;
        self.cx.control.close();
    }

    fn is_busy(&self) -> bool {
        self.server.active() > 0 || self.cx.teams.total() > 0
    }

    /// Another entry can take a released lease at once, and a lost one after 12 s.
    async fn wait_for_release(&self) {
        let until = Instant::now() + RELEASE_LIMIT;
        while self.cx.control.snapshot().leased.is_some() && Instant::now() < until {
            Timer::after(DRAIN_POLL).await;
        }
    }

    /// What the tasks share.
    #[must_use]
    pub const fn cx(&self) -> &cx::Shared {
        &self.cx
    }
}

fn ratings(
    settings: &settings::Settings,
    me: &fleet::Identity,
    traffic: &runtime::Traffic,
) -> entry::Ratings {
    let addr = settings.platform.rating_addr;
    let client = addr.map(|addr| services::RatingClient::new(addr, traffic.clone()));
    let collector = estimate::Collector::new(me.vm.clone(), me.incarnation);
    entry::Ratings::new(client, collector)
}

fn session_key(cfg: &settings::EntrySettings) -> io::Result<session::SessionKey> {
    let bytes = fs::read(&cfg.session_key_file)?;
    session::SessionKey::new(&bytes)
        .map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err.to_string()))
}
