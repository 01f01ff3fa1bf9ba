//! Starts the daemons and the stand-ins that an experiment runs on.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::json;
use smol::Timer;

use crate::bench;
use crate::bench::{operator, publication};
use crate::demo;
use crate::fleet;
use crate::runtime;
use crate::settings;
use crate::standin;
use crate::units;

/// Time within which all entries together must answer a first request.
const START_TIMEOUT: Duration = Duration::from_mins(1);
/// Pause between requests that test whether an entry is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Traffic threads of an entry, as in the default settings.
const ENTRY_THREADS: usize = 2;
/// Concurrent calls that a sidecar of the booking service admits.
const SERVICE_MAX_CONCURRENT: u32 = 64;

/// A daemon with its role and the failure domain it runs in.
struct PlacedDaemon {
    /// Index of the failure domain.
    domain: usize,
    role: fleet::NodeRole,
    daemon: bench::Daemon,
}

/// A running deployment: daemons as child processes, and stand-ins in this process.
pub struct Deployment {
    /// Caller addresses of the entries; entry `i` is in failure domain `i` modulo the
    /// number of domains.
    pub entries: Vec<SocketAddr>,
    /// Bearer tokens of the teams, in the order of the mix.
    pub tokens: Vec<String>,
    /// Engine stand-ins of this process; empty where the engines are child processes.
    pub engines: Vec<standin::StandinEngine>,
    /// Stand-ins for the endpoints of the booking service.
    pub services: Vec<standin::StandinService>,
    /// Stand-in for the platform's log.
    pub log: standin::StandinLog,
    /// Addresses of all engines, also of those that are child processes.
    pub engine_addrs: Vec<SocketAddr>,
    daemons: Mutex<Vec<PlacedDaemon>>,
    engine_processes: Vec<bench::EngineProcess>,
    proxies: Vec<standin::UdpProxy>,
    inventory: standin::StandinInventory,
    rating: standin::StandinRating,
    domains: usize,
    folder: demo::TempDir,
    traffic: runtime::Traffic,
}

/// Returns the loopback address with port 0, for which the system selects a free port.
const fn loopback() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0)
}

impl Deployment {
    /// Publishes the configuration, starts all processes, and waits until each entry answers.
    pub async fn spawn(
        mix: &bench::Mix,
        traffic: &runtime::Traffic,
    ) -> Result<Self, bench::BenchError> {
        let mut deployment = Self {
            entries: Vec::new(),
            tokens: Vec::new(),
            engines: Vec::new(),
            engine_addrs: Vec::new(),
            daemons: Mutex::default(),
            engine_processes: Vec::new(),
            proxies: Vec::new(),
            services: Vec::new(),
            log: standin::StandinLog::bind(loopback(), traffic).await?,
            inventory: standin::StandinInventory::bind(loopback(), traffic).await?,
            rating: standin::StandinRating::bind(loopback(), 1, traffic).await?,
            domains: mix.domains,
            folder: demo::TempDir::create("quetzalworks-bench")?,
            traffic: traffic.clone(),
        };
        let publication = publication::Publication {
            mix,
            log: &deployment.log,
            rating: &deployment.rating,
        };
        deployment.tokens = publication.publish()?;
        deployment.start_processes(mix).await?;
        deployment.wait_until_ready(mix).await?;
        Ok(deployment)
    }

    /// Returns an operator client of entry `entry`.
    #[must_use]
    pub fn operator(&self, entry: usize) -> operator::Operator {
        operator::Operator::new(self.entries[entry], &self.traffic)
    }

    /// Iterates over the engines of a failure domain.
    pub fn engines_in(&self, domain: usize) -> impl Iterator<Item = &standin::StandinEngine> {
        self.engines.iter().skip(domain).step_by(self.domains)
    }

    /// Returns the number of requests that the endpoints of a failure domain have begun so far.
    #[must_use]
    pub fn requests_begun_in(&self, domain: usize) -> u64 {
        let engines = self.engines_in(domain);
        let models: u64 = engines.map(|engine| engine.stats().requests).sum();
        let services = self.services.iter().skip(domain).step_by(self.domains);
        let calls = services.map(|service| {
            let executions: u64 = service.executions().values().sum();
            executions + service.lookups()
        });
        models + calls.sum::<u64>()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<PlacedDaemon>> {
        self.daemons.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Kills the engines and daemons of a failure domain without notice; stand-ins of the
    /// booking service keep running.
    pub fn kill_domain(&self, domain: usize) {
        self.engines_in(domain)
            .for_each(standin::StandinEngine::kill);
        let mut daemons = self.lock();
        let daemons = daemons.iter_mut();
        daemons
            .filter(|placed| placed.domain == domain)
            .for_each(|placed| placed.daemon.kill());
    }

    /// Restarts the engines and daemons of a failure domain; its engines start cold.
    pub async fn restart_domain(&self, domain: usize) -> Result<(), bench::BenchError> {
        for engine in self.engines_in(domain) {
            engine.restart().await?;
            // The engine has been cold since it was killed, so its warm-up time may have passed.
            engine.turn_cold();
        }
        for placed in self.lock().iter_mut() {
            if placed.domain == domain {
                placed.daemon.restart()?;
            }
        }
        Ok(())
    }

    async fn start_processes(&mut self, mix: &bench::Mix) -> Result<(), bench::BenchError> {
        let authority = standin::Authority::generate()?;
        let dir = self.folder.path().to_owned();
        let site = demo::Deployment {
            dir: &dir,
            authority: &authority,
            platform: settings::PlatformSettings {
                log_addr: self.log.addr(),
                inventory_addr: self.inventory.addr(),
                rating_addr: Some(self.rating.addr()),
                weights_addr: None,
            },
        };
        for i in 0..mix.engines {
            let addr = self.start_engine(mix, i).await?;
            let endpoint = settings::EndpointSettings::Engine { checks_fence: true };
            let mut role = demo::sidecar_role(addr, endpoint, mix.engine_concurrent);
            if let (settings::Role::Sidecar(sidecar), Some(cold)) = (&mut role, mix.cold) {
                // Operators set the ramp interval to the time that their engines take to warm up.
                sidecar.ramp_interval_ms = cold.warm_ms;
            }
            self.engine_addrs.push(addr);
            self.start_daemon(&site, &format!("engine-{i}"), i, role, mix)
                .await?;
        }
        for i in 0..mix.booking_servers {
            let service = standin::StandinService::bind(loopback(), &self.traffic).await?;
            let endpoint = settings::EndpointSettings::Service {
                name: "bookings".parse()?,
            };
            let role = demo::sidecar_role(service.addr(), endpoint, SERVICE_MAX_CONCURRENT);
            self.services.push(service);
            self.start_daemon(&site, &format!("bookings-{i}"), i, role, mix)
                .await?;
        }
        for i in 0..mix.entries {
            // Nothing reserves the port between the close of this listener and the daemon's bind.
            let callers = TcpListener::bind(loopback())?.local_addr()?;
            let role = site.entry(callers, operator::TOKEN)?;
            self.start_daemon(&site, &format!("entry-{i}"), i, role, mix)
                .await?;
            self.entries.push(callers);
        }
        Ok(())
    }

    async fn start_engine(
        &mut self,
        mix: &bench::Mix,
        i: usize,
    ) -> Result<SocketAddr, bench::BenchError> {
        let profile = engine_profile(mix, i)?;
        if mix.engine_processes {
            let options = serde_json::to_string(&profile)?;
            let (process, addr) = bench::EngineProcess::spawn(&options)?;
            self.engine_processes.push(process);
            return Ok(addr);
        }
        let engine = standin::StandinEngine::bind(loopback(), profile, &self.traffic).await?;
        let addr = engine.addr();
        self.engines.push(engine);
        Ok(addr)
    }

    /// Returns the processor time that all daemons of a role have used together.
    pub fn cpu(&self, role: fleet::NodeRole) -> Result<Duration, bench::BenchError> {
        let daemons = self.lock();
        daemons
            .iter()
            .filter(|placed| placed.role == role)
            .map(|placed| Ok(placed.daemon.usage()?.cpu))
            .sum::<Result<Duration, bench::BenchError>>()
    }

    async fn start_daemon(
        &mut self,
        site: &demo::Deployment<'_>,
        vm: &str,
        i: usize,
        role: settings::Role,
        mix: &bench::Mix,
    ) -> Result<(), bench::BenchError> {
        let domain = format!("domain-{}", i % mix.domains).parse()?;
        let mut plan = site.plan(vm.parse()?, domain, "region-1".parse()?, role)?;
        if matches!(plan.settings.role, settings::Role::Entry(_)) {
            plan.settings.traffic_threads = ENTRY_THREADS;
        }
        let mut listed = plan.inventory_row();
        if mix.domain_delay_us > 0 {
            let proxy =
                standin::UdpProxy::bind(loopback(), listed.peer_addr, &self.traffic).await?;
            proxy.set(standin::Faults {
                delay: Duration::from_micros(mix.domain_delay_us),
                ..standin::Faults::default()
            });
            listed.peer_addr = proxy.addr();
            self.proxies.push(proxy);
        }
        let file = site.dir.join(format!("{vm}.json"));
        std::fs::write(&file, serde_json::to_string(&plan.into_settings())?)?;
        let placed = PlacedDaemon {
            domain: i % mix.domains,
            role: listed.role,
            daemon: bench::Daemon::spawn(&file)?,
        };
        self.lock().push(placed);
        let mut vms = self.inventory.vms();
        vms.push(listed);
        self.inventory.set(vms);
        Ok(())
    }

    async fn wait_until_ready(&self, mix: &bench::Mix) -> Result<(), bench::BenchError> {
        let profile = mix.requests.iter().find_map(|request| match &request.kind {
            bench::RequestKind::Chat { profile, .. } => Some(profile),
            _ => None,
        });
        let messages = json!([{ "role": "user", "content": "ready?" }]);
        let body = json!({ "model": profile, "max_tokens": 1, "messages": messages }).to_string();
        let deadline = Instant::now() + START_TIMEOUT;
        for entry in &self.entries {
            let caller = bench::Caller::new(*entry, &self.tokens[0], &self.traffic);
            loop {
                let path = "/v1/chat/completions";
                let sent = caller.send(Method::POST, path, None, body.clone(), Instant::now());
                if sent.await.outcome == bench::Outcome::Complete {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!(
                        "entry {entry} gave no complete answer within {START_TIMEOUT:?}"
                    )
                    .into());
                }
                Timer::after(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

fn engine_profile(mix: &bench::Mix, i: usize) -> Result<standin::EngineProfile, bench::BenchError> {
    let model = &mix.models[mix.model_index_of_engine(i)];
    let mut versions = vec![model.version().parse()?];
    if let Some(new_version) = mix
        .new_version
        .as_ref()
        .filter(|new| new.model == model.name)
    {
        versions.push(new_version.version.clone());
    }
    let default = standin::EngineProfile::default();
    Ok(standin::EngineProfile {
        versions,
        first_token_ms: model.first_token_ms,
        cached_first_token_ms: units::Millis(model.first_token_ms.0 / 2),
        between_tokens_ms: model.between_tokens_ms,
        batch: default.batch.min(mix.engine_concurrent),
        slots: mix.engine_concurrent,
        cold: mix.cold,
        ..default
    })
}
