//! Stand-in for an ordinary HTTP service that records bookings.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use smol::Timer;

use crate::http;
use crate::runtime;
use crate::settings;
use crate::standin::serve;
use crate::units;

/// Largest accepted body of a call.
const MAX_CALL_BODY: units::Bytes = units::Bytes(4 * 1_024 * 1_024);

/// A command for the booking service, sent as the body of `POST /standin/control`.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceCommand {
    /// Sets the delay before a call is executed; default 0.
    Delay(units::Millis),
    /// Executes the given number of next bookings but closes their connections
    /// without an answer.
    LoseAnswers(u32),
    /// Answers each call with status 503 without executing it while true.
    Outage(bool),
}

/// A running stand-in booking service; dropping it stops its server.
#[derive(Debug)]
pub struct StandinService {
    service: Arc<Service>,
    connections: http::Connections,
    server: http::Server,
}

#[derive(Debug, Default)]
struct Service(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    executions: HashMap<String, u64>,
    lookups: u64,
    delay: units::Millis,
    answers_to_lose: u32,
    outage: bool,
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, command: ServiceCommand) {
        let mut state = self.lock();
        match command {
            ServiceCommand::Delay(delay) => state.delay = delay,
            ServiceCommand::LoseAnswers(count) => state.answers_to_lose = count,
            ServiceCommand::Outage(outage) => state.outage = outage,
        }
    }

    async fn call(&self, req: Request<Incoming>) -> http::Reply {
        let (delay, outage) = {
            let state = self.lock();
            (state.delay.duration(), state.outage)
        };
        if outage {
            return serve::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let is_lookup = req.method() == Method::GET;
        let path = req.uri().path().to_owned();
        let Ok(body) = http::read_body(req.into_body(), MAX_CALL_BODY, None).await else {
            return serve::status(StatusCode::BAD_REQUEST);
        };
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        if is_lookup {
            return http::json(StatusCode::OK, &self.look_up(&path));
        }
        self.execute(&path, &String::from_utf8_lossy(&body))
    }

    fn look_up(&self, path: &str) -> Value {
        let mut state = self.lock();
        state.lookups += 1;
        json!({ "path": path, "bookings": state.executions.len() })
    }

    fn execute(&self, path: &str, body: &str) -> http::Reply {
        let mut state = self.lock();
        let count = state.executions.entry(body.to_owned()).or_default();
        *count += 1;
        let answer = json!({ "path": path, "booked": body, "execution": *count });
        if state.answers_to_lose > 0 {
            state.answers_to_lose -= 1;
            return http::abort_connection();
        }
        http::json(StatusCode::CREATED, &answer)
    }
}

impl http::Handler for Service {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        match req.uri().path() {
            "/healthz" => serve::status(StatusCode::OK),
            "/standin/control" => serve::control(req, |command| self.control(command)).await,
            "/standin/executions" => {
                let executions = self.lock().executions.clone();
                http::json(StatusCode::OK, &executions)
            }
            _ => self.call(req).await,
        }
    }
}

impl StandinService {
    /// Serves on `addr`; port 0 lets the system choose one.
    pub async fn bind(addr: SocketAddr, traffic: &runtime::Traffic) -> io::Result<Self> {
        let service = Arc::new(Service::default());
        let connections = http::Connections::default();
        let server = http::Server::bind_with(
            addr,
            settings::Limits::default(),
            traffic,
            Arc::clone(&service),
            connections.clone(),
        )
        .await?;
        Ok(Self {
            service,
            connections,
            server,
        })
    }

    /// Returns the bound address, with the port that the system chose for port 0.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Applies a command, as `POST /standin/control` does.
    pub fn control(&self, command: ServiceCommand) {
        self.service.control(command);
    }

    /// Closes all open connections, including those with calls in progress.
    pub fn sever(&self) {
        self.connections.sever();
    }

    /// Returns how often each booking was executed, by the body of its call.
    #[must_use]
    pub fn executions(&self) -> HashMap<String, u64> {
        self.service.lock().executions.clone()
    }

    /// Returns the number of look-ups (GET calls) that were answered.
    #[must_use]
    pub fn lookups(&self) -> u64 {
        self.service.lock().lookups
    }
}
