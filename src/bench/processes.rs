//! Starts the processes whose control overhead is measured.

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::Request;
use smol::Timer;

use crate::bench;
use crate::bench::synthetic;
use crate::catalog;
use crate::demo;
use crate::fleet;
use crate::http;
use crate::platform;
use crate::runtime;
use crate::settings;
use crate::standin;
use crate::units;

/// Maximum number of entries and sidecars together.
const MAX_PROCESSES: usize = 200;
/// Time within which all processes must apply the initial configuration.
const START_TIMEOUT: Duration = Duration::from_mins(2);
/// Polling interval for the counters of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time until the head of the metrics response.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a metrics response.
const MAX_METRICS_BODY: units::Bytes = units::Bytes(1_024 * 1_024);
/// Number of failure domains, to which the processes are assigned in turn.
const DOMAINS: usize = 8;

/// A daemon with a client of its operations address.
#[derive(Debug)]
pub struct Node {
    /// Role of the process in the fleet.
    pub role: fleet::NodeRole,
    /// The process, killed when dropped.
    pub daemon: bench::Daemon,
    operations: http::Client,
}

/// Counters that a process exports as metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Bytes received from other processes of the fleet.
    pub received: u64,
    /// Bytes sent to other processes of the fleet.
    pub sent: u64,
    /// Offset of the last configuration record that is applied, plus one; 0 where none is.
    pub config: u64,
}

/// Entries and sidecars as child processes, on stand-ins of this process.
pub struct Processes {
    /// Entries first, then sidecars.
    pub nodes: Vec<Node>,
    /// Stand-in for the platform's log.
    pub log: standin::StandinLog,
    inventory: standin::StandinInventory,
    _engines: Vec<standin::StandinEngine>,
    folder: demo::TempDir,
    traffic: runtime::Traffic,
}

/// Returns the loopback address with port 0, for which the system selects a free port.
const fn loopback() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0)
}

/// Returns an address whose port is free at present; nothing reserves it until a process
/// binds it. Outgoing connections use another loopback address and cannot take the port
/// in the meantime.
fn free_port() -> std::io::Result<SocketAddr> {
    TcpListener::bind(SocketAddr::from(([127, 1, 0, 1], 0)))?.local_addr()
}

impl Processes {
    /// Starts the processes and waits until all have applied the configuration. The last
    /// `cut` (a fraction) of each role cannot reach the log.
    pub async fn spawn(
        entries: usize,
        sidecars: usize,
        cut: f64,
        traffic: &runtime::Traffic,
    ) -> Result<Self, bench::BenchError> {
        if entries + sidecars > MAX_PROCESSES {
            return Err(format!("more than {MAX_PROCESSES} processes requested").into());
        }
        let mut engines = Vec::new();
        for i in 0..synthetic::VERSIONS {
            let profile = standin::EngineProfile {
                versions: vec![synthetic::version(i)?],
                ..standin::EngineProfile::default()
            };
            engines.push(standin::StandinEngine::bind(loopback(), profile, traffic).await?);
        }
        let addrs: Vec<SocketAddr> = engines.iter().map(standin::StandinEngine::addr).collect();
        let mut processes = Self {
            nodes: Vec::new(),
            log: standin::StandinLog::bind(loopback(), traffic).await?,
            inventory: standin::StandinInventory::bind(loopback(), traffic).await?,
            _engines: engines,
            folder: demo::TempDir::create("quetzalworks-bench")?,
            traffic: traffic.clone(),
        };
        for record in synthetic::records()? {
            let body = record.body.ok_or("a configuration record has no body")?;
            processes.log.append(platform::Stream::Config, &body)?;
        }
        processes.start(entries, sidecars, cut, &addrs)?;
        let end = synthetic::objects()?.len() as u64;
        processes.wait_until_applied(end, START_TIMEOUT).await?;
        Ok(processes)
    }

    fn start(
        &mut self,
        entries: usize,
        sidecars: usize,
        cut: f64,
        engines: &[SocketAddr],
    ) -> Result<(), bench::BenchError> {
        let authority = standin::Authority::generate()?;
        let dir = self.folder.path().to_owned();
        let site = |log_addr| demo::Deployment {
            dir: &dir,
            authority: &authority,
            platform: settings::PlatformSettings {
                log_addr,
                inventory_addr: self.inventory.addr(),
                rating_addr: None,
                weights_addr: None,
            },
        };
        let sites = [site(self.log.addr()), site(free_port()?)];
        let mut listed = Vec::new();
        let mut files = Vec::new();
        for (role, count) in [
            (fleet::NodeRole::Entry, entries),
            (fleet::NodeRole::Sidecar, sidecars),
        ] {
            for i in 0..count {
                #[allow(clippy::cast_precision_loss)]
                let reaches_log = (i as f64) < count as f64 * (1.0 - cut);
                let site = &sites[usize::from(!reaches_log)];
                let settings = match role {
                    fleet::NodeRole::Entry => site.entry(free_port()?, "bench-operator")?,
                    fleet::NodeRole::Sidecar => {
                        let endpoint = settings::EndpointSettings::Engine { checks_fence: true };
                        demo::sidecar_role(engines[i % engines.len()], endpoint, 16)
                    }
                };
                let vm = format!("{role}-{i:04}").parse()?;
                let domain = format!("domain-{}", i % DOMAINS).parse()?;
                let mut plan = site.plan(vm, domain, "region-1".parse()?, settings)?;
                plan.settings.operations_addr = free_port()?;
                listed.push(plan.inventory_row());
                let file = dir.join(format!("{role}-{i}.json"));
                std::fs::write(&file, serde_json::to_string(&plan.settings)?)?;
                files.push((role, file, plan));
            }
        }
        self.inventory.set(listed);
        // The UDP ports stay reserved until the last is chosen, so that none is chosen twice.
        let files: Vec<_> = files
            .into_iter()
            .map(|(role, file, plan)| (role, file, plan.into_settings().operations_addr))
            .collect();
        for (role, file, operations) in files {
            self.nodes.push(Node {
                role,
                daemon: bench::Daemon::spawn(&file)?,
                operations: http::Client::new(operations, self.traffic.clone()),
            });
        }
        Ok(())
    }

    /// Waits until all processes have applied this many configuration records; returns
    /// the time taken, and errs after `limit`.
    pub async fn wait_until_applied(
        &self,
        records: u64,
        limit: Duration,
    ) -> Result<Duration, bench::BenchError> {
        let start = Instant::now();
        for (i, node) in self.nodes.iter().enumerate() {
            loop {
                match node.counters().await {
                    Ok(counters) if counters.config >= records => break,
                    _ if start.elapsed() > limit => {
                        return Err(format!(
                            "process {i} has not applied {records} records within {limit:?}"
                        )
                        .into());
                    }
                    _ => {}
                }
                Timer::after(POLL_INTERVAL).await;
            }
        }
        Ok(start.elapsed())
    }

    /// Appends a configuration change; returns the number of records in the stream.
    pub fn append_change(&self, i: u64) -> Result<u64, bench::BenchError> {
        let content = synthetic::objects()?
            .pop()
            .ok_or("the synthetic configuration has no objects")?
            .1;
        let id: catalog::ObjectId = format!("profiles/change-{i}").parse()?;
        let record = demo::create_record(id, content);
        self.log.append(platform::Stream::Config, &record)?;
        Ok(self.log.records(platform::Stream::Config).len() as u64)
    }
}

impl Node {
    /// Reads the counters from the process's metrics.
    pub async fn counters(&self) -> Result<Counters, bench::BenchError> {
        let req = Request::builder().uri("/metrics").body(Full::default())?;
        let answer = self.operations.send(req, METRICS_TIMEOUT).await?;
        let body = answer.bytes(MAX_METRICS_BODY).await?;
        let mut counters = Counters::default();
        for line in std::str::from_utf8(&body)?.lines() {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            if name.starts_with("quetzalworks_peer_bytes") && name.contains("\"in\"") {
                counters.received = value.parse()?;
            } else if name.starts_with("quetzalworks_peer_bytes") && name.contains("\"out\"") {
                counters.sent = value.parse()?;
            } else if name.starts_with("quetzalworks_config_offset") {
                counters.config = value.parse::<u64>()? + 1;
            }
        }
        Ok(counters)
    }
}
