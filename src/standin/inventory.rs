//! Stand-in for the platform's list of VMs.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::body::Incoming;
use hyper::{Request, StatusCode};

use crate::http;
use crate::platform;
use crate::runtime;
use crate::settings;

/// A running list; dropping it stops it.
#[derive(Debug)]
pub struct StandinInventory {
    vms: Arc<Vms>,
    server: http::Server,
}

#[derive(Debug, Default)]
struct Vms(Mutex<Vec<platform::Vm>>);

impl http::Handler for Vms {
    async fn handle(&self, _req: Request<Incoming>) -> http::Reply {
        let vms = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        http::json(StatusCode::OK, &vms)
    }
}

impl StandinInventory {
    /// Serves an empty list on `addr`.
    pub async fn bind(addr: SocketAddr, traffic: &runtime::Traffic) -> io::Result<Self> {
        let vms = Arc::new(Vms::default());
        let server =
            http::Server::bind(addr, settings::Limits::default(), traffic, Arc::clone(&vms))
                .await?;
        Ok(Self { vms, server })
    }

    /// The address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the list.
    pub fn set(&self, vms: Vec<platform::Vm>) {
        *self.vms.0.lock().unwrap_or_else(PoisonError::into_inner) = vms;
    }
}
