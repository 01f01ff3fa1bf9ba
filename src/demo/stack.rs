//! The demo's processes and stand-ins, from start to stop.

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
use crate::demo::error::{self, setup_error};
use crate::demo::platform;
use crate::demo::publish;
use crate::http;
use crate::runtime;
use crate::settings;
use crate::standin;
use crate::units;

/// Interval between probe requests while the processes start.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Executor threads that all stand-ins share.
const STANDIN_THREADS: usize = 2;
/// Failure domains; each holds one endpoint per model and one of the booking service.
const DOMAINS: [&str; 2] = ["north", "south"];
/// Maximum of concurrent requests per engine.
const ENGINE_MAX_CONCURRENT: u32 = 16;
/// Maximum of concurrent calls per endpoint of the booking service.
const SERVICE_MAX_CONCURRENT: u32 = 32;

/// Address and credentials of the demo, printed as JSON on start.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Access {
    /// URL of the entry, without a path.
    pub base_url: String,
    /// Bearer token of the team `demo`, generated at each start.
    pub team_token: String,
    /// Bearer token for the operators' API, generated at each start.
    pub operator_token: String,
    /// Name of a profile that the team may use as model.
    pub profile: &'static str,
}

/// The running demo. Field order matters: processes are dropped before the
/// stand-ins, and these before the folder.
pub struct Stack {
    processes: Vec<daemon::Process>,
    access: Access,
    _platform: platform::Platform,
    _engines: Vec<standin::StandinEngine>,
    _services: Vec<standin::StandinService>,
    _folder: demo::TempDir,
}

impl Stack {
    /// Starts all processes, the entry on `listen`, and returns once a request has
    /// succeeded; fails if none does within `START_TIMEOUT`.
    pub async fn spawn(listen: SocketAddr) -> Result<Self, demo::DemoError> {
        let folder = demo::TempDir::create("quetzalworks-demo").map_err(setup_error)?;
        let authority = standin::Authority::generate().map_err(setup_error)?;
        let traffic = runtime::Traffic::spawn_threads(STANDIN_THREADS).map_err(setup_error)?;
        let platform = platform::Platform::bind(&traffic)
            .await
            .map_err(setup_error)?;
        let mut access = Access {
            base_url: String::new(),
            team_token: uuid::Uuid::new_v4().simple().to_string(),
            operator_token: uuid::Uuid::new_v4().simple().to_string(),
            profile: publish::PROFILE,
        };
        publish::publish(&platform, &access)?;
        let engines = bind_engines(&platform, &traffic).await?;
        let services = bind_services(&traffic).await?;
        let site = demo::Deployment {
            dir: folder.path(),
            authority: &authority,
            platform: platform.settings(),
        };
        let mut plans = plan_sidecars(&site, &engines, &services)?;
        let entry = site
            .entry(listen, &access.operator_token)
            .map_err(setup_error)?;
        plans.push(plan(&site, "entry-0", DOMAINS[0], entry)?);
        let vms = plans.iter().map(demo::ProcessPlan::inventory_row).collect();
        platform.inventory.set(vms);
        let mut processes = Vec::new();
        for plan in plans {
            processes.push(daemon::Process::spawn(&plan.into_settings()).await?);
        }
        let entry = processes.last().and_then(daemon::Process::callers_addr);
        let entry = entry.ok_or_else(|| setup_error("the entry has no address"))?;
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

    /// Returns address and credentials for callers.
    #[must_use]
    pub const fn access(&self) -> &Access {
        &self.access
    }

    /// Performs a planned stop of the processes, the entry first; accepted
    /// requests may complete until `deadline`.
    pub async fn stop(&self, deadline: Instant) {
        for process in self.processes.iter().rev() {
            process.stop(deadline).await;
        }
    }
}

/// Starts one engine per model and failure domain.
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
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            let engine = standin::StandinEngine::bind(any_port, profile, traffic).await;
            engines.push(engine.map_err(setup_error)?);
        }
    }
    Ok(engines)
}

/// Starts one endpoint of the booking service per failure domain.
async fn bind_services(
    traffic: &runtime::Traffic,
) -> Result<Vec<standin::StandinService>, demo::DemoError> {
    let mut services = Vec::new();
    for _ in DOMAINS {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let service = standin::StandinService::bind(any_port, traffic).await;
        services.push(service.map_err(setup_error)?);
    }
    Ok(services)
}

/// Plans a sidecar for each endpoint, spread over the failure domains in turn.
fn plan_sidecars(
    site: &demo::Deployment<'_>,
    engines: &[standin::StandinEngine],
    services: &[standin::StandinService],
) -> Result<Vec<demo::ProcessPlan>, demo::DemoError> {
    let mut plans = Vec::new();
    for (i, engine) in engines.iter().enumerate() {
        let endpoint = settings::EndpointSettings::Engine { checks_fence: true };
        let role = demo::sidecar_role(engine.addr(), endpoint, ENGINE_MAX_CONCURRENT);
        let domain = DOMAINS[i % DOMAINS.len()];
        plans.push(plan(site, &format!("engine-{i}"), domain, role)?);
    }
    for (i, service) in services.iter().enumerate() {
        let name = "bookings".parse().map_err(setup_error)?;
        let endpoint = settings::EndpointSettings::Service { name };
        let role = demo::sidecar_role(service.addr(), endpoint, SERVICE_MAX_CONCURRENT);
        let domain = DOMAINS[i % DOMAINS.len()];
        plans.push(plan(site, &format!("bookings-{i}"), domain, role)?);
    }
    Ok(plans)
}

fn plan(
    site: &demo::Deployment<'_>,
    vm: &str,
    domain: &str,
    role: settings::Role,
) -> Result<demo::ProcessPlan, demo::DemoError> {
    let vm = vm.parse().map_err(setup_error)?;
    let domain = domain.parse().map_err(setup_error)?;
    let region = "region-1".parse().map_err(setup_error)?;
    site.plan(vm, domain, region, role).map_err(setup_error)
}

/// Sends probe requests until one succeeds.
async fn wait_until_ready(
    entry: SocketAddr,
    access: &Access,
    traffic: &runtime::Traffic,
) -> Result<(), demo::DemoError> {
    let client = http::Client::new(entry, traffic.clone());
    let deadline = Instant::now() + error::START_TIMEOUT;
    while Instant::now() < deadline {
        let answer = client
            .send(probe_request(access)?, error::START_TIMEOUT)
            .await;
        if answer.is_ok_and(|answer| answer.status.is_success()) {
            return Ok(());
        }
        Timer::after(START_POLL_INTERVAL).await;
    }
    Err(demo::DemoError::NotReady)
}

fn probe_request(access: &Access) -> Result<Request<Full<Bytes>>, demo::DemoError> {
    let messages = json!([{ "role": "user", "content": "ready?" }]);
    let body = json!({ "model": access.profile, "max_tokens": 1, "messages": messages });
    Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header(AUTHORIZATION, format!("Bearer {}", access.team_token))
        .body(Full::new(body.to_string().into()))
        .map_err(setup_error)
}
