//! Stand-in for a model engine, with an HTTP server that can be killed and restarted.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use crate::http;
use crate::ids;
use crate::runtime;
use crate::settings;
use crate::standin::engine_api;
use crate::standin::engine_core;
use crate::standin::engine_profile;

/// A running stand-in engine; dropping it stops its server.
#[derive(Debug)]
pub struct StandinEngine {
    engine: Arc<engine_api::Engine>,
    addr: SocketAddr,
    connections: http::Connections,
    traffic: runtime::Traffic,
    server: Mutex<Option<http::Server>>,
}

impl StandinEngine {
    /// Starts an engine on `addr`; port 0 lets the system choose one.
    pub async fn bind(
        addr: SocketAddr,
        profile: engine_profile::EngineProfile,
        traffic: &runtime::Traffic,
    ) -> io::Result<Self> {
        let connections = http::Connections::default();
        let engine = engine_api::Engine::new(profile, connections.clone(), traffic.clone());
        let mut standin = Self {
            engine: Arc::new(engine),
            addr,
            connections,
            traffic: traffic.clone(),
            server: Mutex::default(),
        };
        let server = standin.bind_server().await?;
        standin.addr = server.addr();
        standin.set_server(Some(server));
        Ok(standin)
    }

    async fn bind_server(&self) -> io::Result<http::Server> {
        let handler = Arc::new(engine_api::EngineHandler(Arc::clone(&self.engine)));
        let limits = settings::Limits::default();
        let connections = self.connections.clone();
        http::Server::bind_with(self.addr, limits, &self.traffic, handler, connections).await
    }

    fn set_server(&self, server: Option<http::Server>) {
        *self.server.lock().unwrap_or_else(PoisonError::into_inner) = server;
    }

    /// Returns the bound address, which stays the same across restarts.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Simulates a crash: closes all connections and refuses new ones until
    /// [`restart`](Self::restart).
    pub fn kill(&self) {
        self.set_server(None);
        self.engine.lock().down = true;
        self.engine.crash();
    }

    /// Restarts after a kill on the same address, cold, with the same versions loaded.
    pub async fn restart(&self) -> io::Result<()> {
        let server = self.bind_server().await?;
        self.engine.lock().down = false;
        self.set_server(Some(server));
        Ok(())
    }

    /// Makes the engine cold without a new boot id, so that clients get no notice.
    pub fn turn_cold(&self) {
        self.control(engine_api::EngineCommand::TurnCold);
    }

    /// Applies a command, as `POST /standin/control` does.
    pub fn control(&self, command: engine_api::EngineCommand) {
        self.engine.control(command);
    }

    /// Edits the behaviour in place; takes effect for later requests and tokens.
    pub fn update_profile(&self, change: impl FnOnce(&mut engine_profile::EngineProfile)) {
        change(&mut self.engine.lock().profile);
    }

    /// Returns whether the engine still needs to warm up.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.engine.lock().is_cold()
    }

    /// Returns the versions that are loaded now.
    #[must_use]
    pub fn versions(&self) -> Vec<ids::VersionName> {
        self.engine.lock().versions.clone()
    }

    /// Returns the counters since the engine was created; restarts keep them.
    #[must_use]
    pub fn stats(&self) -> engine_core::EngineStats {
        self.engine.lock().stats
    }

    /// Returns how often each distinct request was started and answered per version.
    #[must_use]
    pub fn served(&self) -> Vec<engine_core::Served> {
        self.engine.lock().served()
    }

    /// Returns the number of requests started on `version`, retries included.
    #[must_use]
    pub fn started(&self, version: &ids::VersionName) -> u64 {
        let served = self.served();
        let of_version = served.iter().filter(|served| served.version == *version);
        of_version.map(|served| served.started).sum()
    }
}
