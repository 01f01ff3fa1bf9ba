//! Stand-in for the platform's inventory, the list of VMs.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Request, StatusCode};

use crate::http;
use crate::platform_clients;
use crate::runtime;
use crate::settings;
use crate::standin::serve;
use crate::units;

/// A command for the inventory, sent as the body of `POST /standin/control`.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InventoryCommand {
    /// Replaces the list; readers see the new one after the lag.
    Vms(Vec<platform_clients::Vm>),
    /// Sets the time after which readers see a change; default 0.
    Lag(units::Millis),
    /// Answers each read with status 503 while true.
    Outage(bool),
}

/// A running stand-in inventory; dropping it stops its server.
#[derive(Debug)]
pub struct StandinInventory {
    list: Arc<VmList>,
    server: http::Server,
}

#[derive(Debug, Default)]
struct VmList(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    visible: Vec<platform_clients::Vm>,
    pending: Vec<(Instant, Vec<platform_clients::Vm>)>,
    lag: units::Millis,
    outage: bool,
}

impl State {
    /// Returns the list that readers see now, after applying changes that are due.
    fn visible(&mut self) -> &[platform_clients::Vm] {
        let now = Instant::now();
        while self.pending.first().is_some_and(|(due, _)| *due <= now) {
            self.visible = self.pending.remove(0).1;
        }
        &self.visible
    }

    /// Returns the newest list, including one that readers don't see yet.
    fn latest(&self) -> &[platform_clients::Vm] {
        self.pending.last().map_or(&self.visible, |(_, vms)| vms)
    }
}

impl VmList {
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

/// Returns the entity tag of a list, a hash of its content.
fn etag(vms: &[platform_clients::Vm]) -> HeaderValue {
    let mut hasher = DefaultHasher::new();
    for listed in vms {
        (&listed.vm, &listed.domain, &listed.region, listed.role).hash(&mut hasher);
        (listed.peer_addr, listed.state).hash(&mut hasher);
    }
    HeaderValue::from_str(&format!("\"{:016x}\"", hasher.finish()))
        .unwrap_or(HeaderValue::from_static("\"\""))
}

impl http::Handler for VmList {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        if req.uri().path() == "/standin/control" {
            return serve::control(req, |command| self.control(command)).await;
        }
        let mut state = self.lock();
        if state.outage {
            return serve::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let etag = etag(state.visible());
        if req.headers().get(IF_NONE_MATCH) == Some(&etag) {
            return http::full(StatusCode::NOT_MODIFIED, "application/json", "");
        }
        let mut reply = http::json(StatusCode::OK, &state.visible());
        reply.headers_mut().insert(ETAG, etag);
        reply
    }
}

impl StandinInventory {
    /// Serves an empty list on `addr`; port 0 lets the system choose one.
    pub async fn bind(addr: SocketAddr, traffic: &runtime::Traffic) -> io::Result<Self> {
        let list = Arc::new(VmList::default());
        let handler = Arc::clone(&list);
        let limits = settings::Limits::default();
        let server = http::Server::bind(addr, limits, traffic, handler).await?;
        Ok(Self { list, server })
    }

    /// Returns the bound address, with the port that the system chose for port 0.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Applies a command, as `POST /standin/control` does.
    pub fn control(&self, command: InventoryCommand) {
        self.list.control(command);
    }

    /// Replaces the list; readers see the new one after the lag.
    pub fn set(&self, vms: Vec<platform_clients::Vm>) {
        self.control(InventoryCommand::Vms(vms));
    }

    /// Sets the state of one VM; does nothing if it is not on the list.
    pub fn set_state(&self, vm: &str, vm_state: platform_clients::VmState) {
        let mut vms = self.vms();
        for listed in &mut vms {
            if listed.vm.as_str() == vm {
                listed.state = vm_state;
            }
        }
        self.set(vms);
    }

    /// Removes a VM from the list; readers see it after the lag.
    pub fn remove(&self, vm: &str) {
        let mut vms = self.vms();
        vms.retain(|listed| listed.vm.as_str() != vm);
        self.set(vms);
    }

    /// Returns the newest list, including one that readers don't see yet.
    #[must_use]
    pub fn vms(&self) -> Vec<platform_clients::Vm> {
        self.list.lock().latest().to_vec()
    }
}
