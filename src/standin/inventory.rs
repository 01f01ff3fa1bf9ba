//! Stand-in for the platform's list of VMs.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Request, StatusCode};

use crate::http;
use crate::runtime;
use crate::services;
use crate::settings;
use crate::standin::serve;
use crate::units;

/// Control of the list; the body of `POST /standin/control`.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InventoryCommand {
    /// Replaces the list; readers see it after the lag.
    Vms(Vec<services::Vm>),
    /// Time after which readers see a change.
    Lag(units::Millis),
    /// Answers each read with status 503.
    Outage(bool),
}

/// A running list; dropping it stops it.
#[derive(Debug)]
pub struct StandinInventory {
    list: Arc<List>,
    server: http::Server,
}

#[derive(Debug, Default)]
struct List(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    visible: Vec<services::Vm>,
    pending: Vec<(Instant, Vec<services::Vm>)>,
    lag: units::Millis,
    outage: bool,
}

impl State {
    fn visible(&mut self) -> &[services::Vm] {
        let now = Instant::now();
        while self.pending.first().is_some_and(|(due, _)| *due <= now) {
            self.visible = self.pending.remove(0).1;
        }
        &self.visible
    }

    /// The list as it is, regardless of the lag.
    fn latest(&self) -> &[services::Vm] {
        self.pending.last().map_or(&self.visible, |(_, vms)| vms)
    }
}

impl List {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, command: InventoryCommand) {
        let mut state = self.lock();
        match command {
            InventoryCommand::Vms(vms) => {
                let due = Instant::now() + state.lag.duration();
                state.pending.push((due, vms));
            }
            InventoryCommand::Lag(lag) => state.lag = lag,
            InventoryCommand::Outage(outage) => state.outage = outage,
        }
    }
}

/// The tag of a list's content.
fn tag(vms: &[services::Vm]) -> HeaderValue {
    let mut hasher = DefaultHasher::new();
    for listed in vms {
        (&listed.vm, &listed.domain, &listed.region, listed.role).hash(&mut hasher);
        (listed.peer_addr, listed.state).hash(&mut hasher);
    }
    HeaderValue::from_str(&format!("\"{:016x}\"", hasher.finish()))
        .unwrap_or(HeaderValue::from_static("\"\""))
}

impl http::Handler for List {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        if req.uri().path() == "/standin/control" {
            return serve::control(req, |command| self.control(command)).await;
        }
        let mut state = self.lock();
        if state.outage {
            return serve::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let tag = tag(state.visible());
        if req.headers().get(IF_NONE_MATCH) == Some(&tag) {
            return http::full(StatusCode::NOT_MODIFIED, "application/json", "");
        }
        let mut reply = http::json(StatusCode::OK, &state.visible());
        reply.headers_mut().insert(ETAG, tag);
        reply
    }
}

impl StandinInventory {
    /// Serves an empty list on `addr`.
    pub async fn bind(addr: SocketAddr, traffic: &runtime::Traffic) -> io::Result<Self> {
        let list = Arc::new(List::default());
        let handler = Arc::clone(&list);
        let limits = settings::Limits::default();
        let server = http::Server::bind(addr, limits, traffic, handler).await?;
        Ok(Self { list, server })
    }

    /// The address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets a switch or replaces the list.
    pub fn control(&self, command: InventoryCommand) {
        self.list.control(command);
    }

    /// Replaces the list; readers see it after the lag.
    pub fn set(&self, vms: Vec<services::Vm>) {
        self.control(InventoryCommand::Vms(vms));
    }

    /// Changes the state of one VM.
    pub fn set_state(&self, vm: &str, vm_state: services::VmState) {
        let mut vms = self.vms();
        for listed in &mut vms {
            if listed.vm.as_str() == vm {
                listed.state = vm_state;
            }
        }
        self.set(vms);
    }

    /// Takes a VM off the list.
    pub fn remove(&self, vm: &str) {
        let mut vms = self.vms();
        vms.retain(|listed| listed.vm.as_str() != vm);
        self.set(vms);
    }

    /// The list as it is, regardless of the lag.
    #[must_use]
    pub fn vms(&self) -> Vec<services::Vm> {
        self.list.lock().latest().to_vec()
    }
}
