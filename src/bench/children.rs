//! Processes of the system and stand-ins that an experiment runs on.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::json;
use smol::Timer;

use crate::bench;
use crate::catalog;
use crate::demo;
use crate::fleet;
use crate::ids;
use crate::platform;
use crate::runtime;
use crate::settings;
use crate::standin;
use crate::units;

/// Time until all entries answer.
const START_LIMIT: Duration = Duration::from_mins(1);
/// Pause between requests that look whether an entry is ready.
const START_POLL: Duration = Duration::from_millis(50);
/// Concurrent requests of an engine.
const ENGINE_CONCURRENT: u32 = 64;

/// Daemons as child processes on stand-ins of this process.
pub struct Children {
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Tokens of the teams.
    pub tokens: Vec<String>,
    /// The engines.
    pub engines: Vec<standin::StandinEngine>,
    /// Addresses of the engines, also of those in processes of their own.
    pub engine_addrs: Vec<SocketAddr>,
    daemons: Vec<(fleet::NodeRole, bench::Daemon)>,
    engine_processes: Vec<bench::Daemon>,
    proxies: Vec<standin::UdpProxy>,
    services: Vec<standin::StandinService>,
    log: standin::StandinLog,
    inventory: standin::StandinInventory,
    rating: standin::StandinRating,
    folder: demo::Folder,
    traffic: runtime::Traffic,
}

const fn any() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0)
}

impl Children {
    /// Starts the deployment and waits until all entries answer.
    pub async fn spawn(
        mix: &bench::Mix,
        traffic: &runtime::Traffic,
    ) -> Result<Self, bench::BenchError> {
        let mut children = Self {
            entries: Vec::new(),
            tokens: Vec::new(),
            engines: Vec::new(),
            engine_addrs: Vec::new(),
            daemons: Vec::new(),
            engine_processes: Vec::new(),
            proxies: Vec::new(),
            services: Vec::new(),
            log: standin::StandinLog::bind(any(), traffic).await?,
            inventory: standin::StandinInventory::bind(any(), traffic).await?,
            rating: standin::StandinRating::bind(any(), 1, traffic).await?,
            folder: demo::Folder::create("quetzalworks-bench")?,
            traffic: traffic.clone(),
        };
        children.publish(mix)?;
        children.start(mix).await?;
        children.wait_until_ready(mix).await?;
        Ok(children)
    }

    fn put(&self, id: &str, content: catalog::Object) -> Result<(), bench::BenchError> {
        let id = id.parse::<catalog::ObjectId>()?;
        let record = demo::change(id, content);
        self.log.append(platform::Stream::Config, &record)?;
        Ok(())
    }

    fn publish(&mut self, mix: &bench::Mix) -> Result<(), bench::BenchError> {
        let mut teams = Vec::new();
        for i in 0..mix.team_shares.len() {
            let token = format!("bench-{i}");
            let team = catalog::Team {
                token_sha256: vec![ids::Digest::of(token.as_bytes())],
                max_concurrent: 4_096,
            };
            self.put(
                &format!("teams/team-{i}"),
                catalog::Object::Team(Arc::new(team)),
            )?;
            self.tokens.push(token);
            teams.push(format!("team-{i}"));
        }
        let mut versions = Vec::new();
        for model in &mix.models {
            let version = format!("{}-1", model.name);
            let content = demo::version(model.name.parse()?, model.cost, model.quality);
            self.put(&format!("versions/{version}"), content)?;
            self.rating.control(standin::RatingCommand::Quality {
                version: version.parse()?,
                quality: units::Quality::clamped(model.quality),
            });
            versions.push(version);
        }
        for request in &mix.requests {
            let bench::Kind::Chat {
                profile,
                quality_target,
                ..
            } = &request.kind
            else {
                continue;
            };
            let content = json!({
                "teams": teams,
                "versions": versions,
                "quality_target": quality_target,
                "deadline_ms": request.deadline_ms,
            });
            let content = catalog::Object::Profile(serde_json::from_value(content)?);
            self.put(&format!("profiles/{profile}"), content)?;
        }
        let service = json!({ "teams": teams, "undated_keys": "accept" });
        let service = catalog::Object::Service(serde_json::from_value(service)?);
        self.put("services/bookings", service)
    }

    async fn start(&mut self, mix: &bench::Mix) -> Result<(), bench::BenchError> {
        let authority = standin::Authority::generate()?;
        let dir = self.folder.path().to_owned();
        let site = demo::Site {
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
            let role = demo::sidecar(addr, endpoint, ENGINE_CONCURRENT);
            self.engine_addrs.push(addr);
            self.run(&site, &format!("engine-{i}"), i, role, mix)
                .await?;
        }
        for i in 0..mix.booking_servers {
            let service = standin::StandinService::bind(any(), &self.traffic).await?;
            let endpoint = settings::EndpointSettings::Service {
                name: "bookings".parse()?,
            };
            let role = demo::sidecar(service.addr(), endpoint, ENGINE_CONCURRENT);
            self.services.push(service);
            self.run(&site, &format!("bookings-{i}"), i, role, mix)
                .await?;
        }
        for i in 0..mix.entries {
            // Held only until the daemon takes the port.
            let callers = TcpListener::bind(any())?.local_addr()?;
            let role = site.entry(callers, "bench-operator")?;
            self.run(&site, &format!("entry-{i}"), i, role, mix).await?;
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
            let (process, addr) = bench::Daemon::spawn_engine(&options)?;
            self.engine_processes.push(process);
            return Ok(addr);
        }
        let engine = standin::StandinEngine::bind(any(), profile, &self.traffic).await?;
        let addr = engine.addr();
        self.engines.push(engine);
        Ok(addr)
    }

    /// Processor time that the daemons of a role have used together.
    pub fn cpu(&self, role: fleet::NodeRole) -> Result<Duration, bench::BenchError> {
        let daemons = self.daemons.iter().filter(|(of, _)| *of == role);
        daemons
            .map(|(_, daemon)| Ok(daemon.usage()?.cpu))
            .sum::<Result<Duration, bench::BenchError>>()
    }

    async fn run(
        &mut self,
        site: &demo::Site<'_>,
        vm: &str,
        i: usize,
        role: settings::Role,
        mix: &bench::Mix,
    ) -> Result<(), bench::BenchError> {
        let domain = format!("domain-{}", i % mix.domains).parse()?;
        let plan = site.plan(vm.parse()?, domain, "region-1".parse()?, role)?;
        let mut listed = plan.listed();
        if mix.domain_delay_us > 0 {
            let proxy = standin::UdpProxy::bind(any(), listed.peer_addr, &self.traffic).await?;
            proxy.set(standin::Faults {
                delay: Duration::from_micros(mix.domain_delay_us),
                ..standin::Faults::default()
            });
            listed.peer_addr = proxy.addr();
            self.proxies.push(proxy);
        }
        let file = site.dir.join(format!("{vm}.json"));
        std::fs::write(&file, serde_json::to_string(&plan.release())?)?;
        self.daemons
            .push((listed.role, bench::Daemon::spawn(&file)?));
        let mut vms = self.inventory.vms();
        vms.push(listed);
        self.inventory.set(vms);
        Ok(())
    }

    async fn wait_until_ready(&self, mix: &bench::Mix) -> Result<(), bench::BenchError> {
        let profile = mix.requests.iter().find_map(|request| match &request.kind {
            bench::Kind::Chat { profile, .. } => Some(profile),
            _ => None,
        });
        let messages = json!([{ "role": "user", "content": "ready?" }]);
        let body = json!({ "model": profile, "max_tokens": 1, "messages": messages }).to_string();
        let deadline = Instant::now() + START_LIMIT;
        for entry in &self.entries {
            let caller = bench::Caller::new(*entry, &self.tokens[0], &self.traffic);
            loop {
                let path = "/v1/chat/completions";
                let sent = caller.send(Method::POST, path, None, body.clone(), Instant::now());
                if sent.await.outcome == bench::Outcome::Whole {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("entry {entry} is not ready in {START_LIMIT:?}").into());
                }
                Timer::after(START_POLL).await;
            }
        }
        Ok(())
    }
}

fn engine_profile(mix: &bench::Mix, i: usize) -> Result<standin::EngineProfile, bench::BenchError> {
    let model = &mix.models[mix.model_of(i)];
    Ok(standin::EngineProfile {
        versions: vec![format!("{}-1", model.name).parse()?],
        first_token_ms: model.first_token_ms,
        cached_first_token_ms: units::Millis(model.first_token_ms.0 / 2),
        between_tokens_ms: model.between_tokens_ms,
        slots: ENGINE_CONCURRENT,
        ..standin::EngineProfile::default()
    })
}
