//! Stand-in for the weight store, with a limit on parallel loads.

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

/// A command for the weight store, sent as the body of `POST /standin/control`.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightsCommand {
    /// Answers each load with status 503 while true, including loads in progress.
    Outage(bool),
    /// Sets the maximum of parallel loads; others get status 429.
    Parallel(u32),
    /// Sets the duration of loads that start from now on.
    LoadTime(units::Millis),
}

/// Counters of the weight store since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WeightsStats {
    /// Loads that completed successfully.
    pub loads: u64,
    /// Loads refused because of the parallel limit.
    pub refused: u64,
    /// Maximum of parallel loads so far.
    pub peak: u32,
}

/// A running stand-in weight store; dropping it stops its server.
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

/// The slot of a load in progress; freed when dropped.
struct LoadSlot<'a>(&'a Store);

impl Drop for LoadSlot<'_> {
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

    /// Takes a load slot; returns it with the load's duration, or the status to
    /// refuse the load with.
    fn start_load(&self) -> Result<(LoadSlot<'_>, units::Millis), StatusCode> {
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
        Ok((LoadSlot(self), state.load_time))
    }

    /// Simulates a load; returns the status of its answer.
    async fn load(&self) -> StatusCode {
        let (slot, time) = match self.start_load() {
            Ok(started) => started,
            Err(status) => return status,
        };
        Timer::after(time.duration()).await;
        drop(slot);
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
    /// Serves on `addr`; up to `parallel` loads, each of `load_time`, run at a time.
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

    /// Returns the bound address, with the port that the system chose for port 0.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Applies a command, as `POST /standin/control` does.
    pub fn control(&self, command: WeightsCommand) {
        self.store.control(command);
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn stats(&self) -> WeightsStats {
        self.store.lock().stats
    }
}
