//! Everything that the demo runs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request};
use serde_json::json;
use smol::Timer;

use crate::daemon;
use crate::demo;
use crate::demo::error::{self, setup};
use crate::demo::platform;
use crate::demo::publish;
use crate::http;
use crate::runtime;
use crate::settings;
use crate::standin;
use crate::units;

/// Pause between requests that look whether the path is ready.
const START_POLL: Duration = Duration::from_millis(50);
/// Threads of the stand-ins.
const STANDIN_THREADS: usize = 2;
/// Endpoints of each model and of the booking service, one in each domain.
const DOMAINS: [&str; 2] = ["north", "south"];
/// Concurrent requests of an engine.
const ENGINE_CONCURRENT: u32 = 16;
/// Concurrent calls of an endpoint of the booking service.
const SERVICE_CONCURRENT: u32 = 32;

/// What a caller of the demo needs.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Access {
    /// Address of the entry.
    pub base_url: String,
    /// Token of the team `demo`.
    pub team_token: String,
    /// Token of operators.
    pub operator_token: String,
    /// A profile that the team may use.
    pub profile: &'static str,
}

/// The running demo. Fields are dropped in order: processes, stand-ins, folder.
pub struct Stack {
    processes: Vec<daemon::Process>,
    access: Access,
    _platform: platform::Platform,
    _engines: Vec<standin::StandinEngine>,
    _services: Vec<standin::StandinService>,
    _folder: demo::Folder,
}

impl Stack {
    /// Starts everything with the entry on `listen`; returns once a request has succeeded.
    pub async fn spawn(listen: SocketAddr) -> Result<Self, demo::DemoError> {
        let folder = demo::Folder::create("quetzalworks-demo").map_err(setup)?;
        let authority = standin::Authority::generate().map_err(setup)?;
        let traffic = runtime::Traffic::spawn_threads(STANDIN_THREADS).map_err(setup)?;
        let platform = platform::Platform::bind(&traffic).await.map_err(setup)?;
        let mut access = Access {
            base_url: String::new(),
            team_token: uuid::Uuid::new_v4().simple().to_string(),
            operator_token: uuid::Uuid::new_v4().simple().to_string(),
            profile: publish::PROFILE,
        };
        publish::publish(&platform, &access)?;
        let engines = bind_engines(&platform, &traffic).await?;
        let services = bind_services(&traffic).await?;
        let site = demo::Site {
            dir: folder.path(),
            authority: &authority,
            platform: platform.settings(),
        };
        let mut plans = plan_sidecars(&site, &engines, &services)?;
        let entry = site.entry(listen, &access.operator_token).map_err(setup)?;
        plans.push(plan(&site, "entry-0", DOMAINS[0], entry)?);
        let vms = plans.iter().map(demo::NodePlan::listed).collect();
        platform.inventory.set(vms);
        let mut processes = Vec::new();
        for plan in plans {
            processes.push(daemon::Process::spawn(&plan.release()).await?);
        }
        let entry = processes.last().and_then(daemon::Process::callers_addr);
        let entry = entry.ok_or_else(|| setup("the entry has no address"))?;
        access.base_url = format!("http://{entry}");
        wait_until_ready(entry, &access, &traffic).await?;
        Ok(Self {
            processes,
            access,
            _platform: platform,
            _engines: engines,
            _services: services,
            _folder: folder,
        })
    }

    /// What a caller needs.
    #[must_use]
    pub const fn access(&self) -> &Access {
        &self.access
    }

    /// Stops the processes as planned, the entry first.
    pub async fn stop(&self, deadline: Instant) {
        for process in self.processes.iter().rev() {
            process.stop(deadline).await;
        }
    }
}

/// Each model in each domain.
async fn bind_engines(
    platform: &platform::Platform,
    traffic: &runtime::Traffic,
) -> Result<Vec<standin::StandinEngine>, demo::DemoError> {
    let mut engines = Vec::new();
    for model in &publish::MODELS {
        for _ in DOMAINS {
            let profile = standin::EngineProfile {
                versions: vec![publish::version_name(model)?],
                first_token_ms: units::Millis(model.first_token_ms),
                cached_first_token_ms: units::Millis(model.first_token_ms / 2),
                between_tokens_ms: units::Millis(model.between_tokens_ms),
                weights_addr: Some(platform.weights.addr()),
                ..standin::EngineProfile::default()
            };
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let engine = standin::StandinEngine::bind(any, profile, traffic).await;
            engines.push(engine.map_err(setup)?);
        }
    }
    Ok(engines)
}

async fn bind_services(
    traffic: &runtime::Traffic,
) -> Result<Vec<standin::StandinService>, demo::DemoError> {
    let mut services = Vec::new();
    for _ in DOMAINS {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let service = standin::StandinService::bind(any, traffic).await;
        services.push(service.map_err(setup)?);
    }
    Ok(services)
}

fn plan_sidecars(
    site: &demo::Site<'_>,
    engines: &[standin::StandinEngine],
    services: &[standin::StandinService],
) -> Result<Vec<demo::NodePlan>, demo::DemoError> {
    let mut plans = Vec::new();
    for (i, engine) in engines.iter().enumerate() {
        let endpoint = settings::EndpointSettings::Engine { checks_fence: true };
        let role = demo::sidecar(engine.addr(), endpoint, ENGINE_CONCURRENT);
        let domain = DOMAINS[i % DOMAINS.len()];
        plans.push(plan(site, &format!("engine-{i}"), domain, role)?);
    }
    for (i, service) in services.iter().enumerate() {
        let name = "bookings".parse().map_err(setup)?;
        let endpoint = settings::EndpointSettings::Service { name };
        let role = demo::sidecar(service.addr(), endpoint, SERVICE_CONCURRENT);
        let domain = DOMAINS[i % DOMAINS.len()];
        plans.push(plan(site, &format!("bookings-{i}"), domain, role)?);
    }
    Ok(plans)
}

fn plan(
    site: &demo::Site<'_>,
    vm: &str,
    domain: &str,
    role: settings::Role,
) -> Result<demo::NodePlan, demo::DemoError> {
    let vm = vm.parse().map_err(setup)?;
    let domain = domain.parse().map_err(setup)?;
    let region = "region-1".parse().map_err(setup)?;
    site.plan(vm, domain, region, role).map_err(setup)
}

async fn wait_until_ready(
    entry: SocketAddr,
    access: &Access,
    traffic: &runtime::Traffic,
) -> Result<(), demo::DemoError> {
    let client = http::Client::new(entry, traffic.clone());
    let deadline = Instant::now() + error::START_LIMIT;
    while Instant::now() < deadline {
        let answer = client.send(probe(access)?, error::START_LIMIT).await;
        if answer.is_ok_and(|answer| answer.status.is_success()) {
            return Ok(());
        }
        Timer::after(START_POLL).await;
    }
    Err(demo::DemoError::NotReady)
}

fn probe(access: &Access) -> Result<Request<Full<Bytes>>, demo::DemoError> {
    let messages = json!([{ "role": "user", "content": "ready?" }]);
    let body = json!({ "model": access.profile, "max_tokens": 1, "messages": messages });
    Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header(AUTHORIZATION, format!("Bearer {}", access.team_token))
        .body(Full::new(body.to_string().into()))
        .map_err(setup)
}
