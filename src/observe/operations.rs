//! Server for `/healthz`, `/readyz` and `/metrics`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};

use crate::control;
use crate::http;
use crate::ids;
use crate::observe;
use crate::runtime;
use crate::settings;

/// The operations server; it stops accepting connections when it is dropped.
#[derive(Debug)]
pub struct Operations {
    state: Arc<State>,
    server: http::Server,
}

#[derive(Debug)]
struct State {
    control: control::Control,
    stopping: AtomicBool,
}

impl Operations {
    /// Starts the server on `addr` and registers the metrics of the process on
    /// `vm`. Fails where the address cannot be bound.
    pub async fn bind(
        addr: SocketAddr,
        vm: &ids::VmName,
        control: control::Control,
        traffic: &runtime::Traffic,
    ) -> io::Result<Self> {
        observe::metrics().register_gauges(vm, &control);
        let state = Arc::new(State {
            control,
            stopping: AtomicBool::new(false),
        });
        let limits = settings::Limits::default();
        let server = http::Server::bind(addr, limits, traffic, Arc::clone(&state)).await?;
        Ok(Self { state, server })
    }

    /// Returns the address on which the server listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Makes `/readyz` respond with status 503 from now on.
    pub fn begin_stop(&self) {
        self.state.stopping.store(true, Ordering::Release);
    }
}

impl State {
    fn readiness(&self) -> (StatusCode, String) {
        let phase = self.control.snapshot().phase;
        if self.stopping.load(Ordering::Acquire) {
            (StatusCode::SERVICE_UNAVAILABLE, "stopping\n".into())
        } else if phase == control::Phase::Serving {
            (StatusCode::OK, "ready\n".into())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, format!("{phase}\n"))
        }
    }
}

impl http::Handler for State {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/healthz") => http::full(StatusCode::OK, "text/plain", "ok\n"),
            (&Method::GET, "/readyz") => {
                let (status, text) = self.readiness();
                http::full(status, "text/plain", text)
            }
            (&Method::GET, "/metrics") => observe::MetricsHandler::reply(),
            _ => http::not_found(),
        }
    }
}
