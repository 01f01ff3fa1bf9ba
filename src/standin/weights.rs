//! Stand-in for the weight store.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use smol::Timer;

use crate::http;
use crate::runtime;
use crate::settings;
use crate::standin::serve;
use crate::units;

/// Control of the weight store; the body of `POST /standin/control`.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightsCommand {
    /// Answers each load with status 503.
    Outage(bool),
    /// Loads that run at a time; others get status 429.
    Parallel(u32),
    /// Time of a load.
    LoadTime(units::Millis),
}

/// Counts of the weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WeightsStats {
    /// Loads that were completed.
    pub loads: u64,
    /// Loads refused for the limit.
    pub refused: u64,
    /// Most loads at a time.
    pub peak: u32,
}

/// A running weight store; dropping it stops it.
#[derive(Debug)]
pub struct StandinWeights {
    store: Arc<Store>,
    server: http::Server,
}

#[derive(Debug)]
struct Store(Mutex<State>);

#[derive(Debug)]
struct State {
    parallel: u32,
    load_time: units::Millis,
    outage: bool,
    running: u32,
    stats: WeightsStats,
}

/// A running load; gives its place back when dropped.
struct Place<'a>(&'a Store);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, command: WeightsCommand) {
        let mut state = self.lock();
        match command {
            WeightsCommand::Outage(outage) => state.outage = outage,
            WeightsCommand::Parallel(parallel) => state.parallel = parallel,
            WeightsCommand::LoadTime(time) => state.load_time = time,
        }
    }

    fn enter(&self) -> Result<(Place<'_>, units::Millis), StatusCode> {
        let mut state = self.lock();
        if state.outage {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if state.running >= state.parallel {
            state.stats.refused += 1;
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        state.running += 1;
        state.stats.peak = state.stats.peak.max(state.running);
        Ok((Place(self), state.load_time))
    }

    async fn load(&self) -> StatusCode {
        let (place, time) = match self.enter() {
            Ok(entered) => entered,
            Err(status) => return status,
        };
        Timer::after(time.duration()).await;
        drop(place);
        let mut state = self.lock();
        if state.outage {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        state.stats.loads += 1;
        StatusCode::OK
    }
}

impl http::Handler for Store {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        match req.uri().path() {
            "/standin/control" => serve::control(req, |command| self.control(command)).await,
            "/standin/stats" => {
                let stats = self.lock().stats;
                http::json(StatusCode::OK, &stats)
            }
            path if path.starts_with("/weights/") => serve::status(self.load().await),
            _ => http::not_found(),
        }
    }
}

impl StandinWeights {
    /// Serves on `addr`; `parallel` loads of `load_time` run at a time.
    pub async fn bind(
        addr: SocketAddr,
        parallel: u32,
        load_time: units::Millis,
        traffic: &runtime::Traffic,
    ) -> io::Result<Self> {
        let store = Arc::new(Store(Mutex::new(State {
            parallel,
            load_time,
            outage: false,
            running: 0,
            stats: WeightsStats::default(),
        })));
        let handler = Arc::clone(&store);
        let limits = settings::Limits::default();
        let server = http::Server::bind(addr, limits, traffic, handler).await?;
        Ok(Self { store, server })
    }

    /// The address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets a switch.
    pub fn control(&self, command: WeightsCommand) {
        self.store.control(command);
    }

    /// Counts.
    #[must_use]
    pub fn stats(&self) -> WeightsStats {
        self.store.lock().stats
    }
}
