//! Stand-in for a model engine.

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

/// A running engine; dropping it stops it.
#[derive(Debug)]
pub struct StandinEngine {
    engine: Arc<engine_api::Engine>,
    addr: SocketAddr,
    connections: http::Connections,
    traffic: runtime::Traffic,
    server: Mutex<Option<http::Server>>,
}

impl StandinEngine {
    /// Starts an engine on `addr`.
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
        let server = standin.serve().await?;
        standin.addr = server.addr();
        standin.put(Some(server));
        Ok(standin)
    }

    async fn serve(&self) -> io::Result<http::Server> {
        let handler = Arc::new(engine_api::Shared(Arc::clone(&self.engine)));
        let limits = settings::Limits::default();
        let connections = self.connections.clone();
        http::Server::bind_with(self.addr, limits, &self.traffic, handler, connections).await
    }

    fn put(&self, server: Option<http::Server>) {
        *self.server.lock().unwrap_or_else(PoisonError::into_inner) = server;
    }

    /// The address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops without warning: drops all connections and refuses new ones.
    pub fn kill(&self) {
        self.put(None);
        self.engine.lock().down = true;
        self.engine.crash();
    }

    /// Starts again after a kill, on the same address, with the same versions, cold.
    pub async fn restart(&self) -> io::Result<()> {
        let server = self.serve().await?;
        self.engine.lock().down = false;
        self.put(Some(server));
        Ok(())
    }

    /// Becomes cold without warning and without a new boot id.
    pub fn turn_cold(&self) {
        self.control(engine_api::EngineCommand::TurnCold);
    }

    /// Runs a command.
    pub fn control(&self, command: engine_api::EngineCommand) {
        self.engine.control(command);
    }

    /// Changes the behaviour.
    pub fn with_profile(&self, change: impl FnOnce(&mut engine_profile::EngineProfile)) {
        change(&mut self.engine.lock().profile);
    }

    /// Whether the engine is cold.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.engine.lock().is_cold()
    }

    /// Versions loaded.
    #[must_use]
    pub fn versions(&self) -> Vec<ids::VersionName> {
        self.engine.lock().versions.clone()
    }

    /// Counts.
    #[must_use]
    pub fn stats(&self) -> engine_core::EngineStats {
        self.engine.lock().stats
    }

    /// How often each request ran on each version.
    #[must_use]
    pub fn served(&self) -> Vec<engine_core::Served> {
        self.engine.lock().served()
    }

    /// Requests that were begun on a version.
    #[must_use]
    pub fn started(&self, version: &ids::VersionName) -> u64 {
        let served = self.served();
        let of_version = served.iter().filter(|served| served.version == *version);
        of_version.map(|served| served.started).sum()
    }
}
