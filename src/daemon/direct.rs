//! The daemon as a direct entry, started by the platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use async_signal::{Signal, Signals};
use smol::Timer;
use smol::future::FutureExt;
use smol::stream::StreamExt;

use crate::daemon;
use crate::gateway;
use crate::platform;
use crate::runtime;
use crate::settings;

/// Number of threads that carry traffic; the platform's machines have one core.
const TRAFFIC_THREADS: usize = 1;
/// Interval at which the settings file is read again, since the platform may
/// change it without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Event that a running process reacts to.
enum ProcessEvent {
    /// The settings file may have changed.
    Reload,
    /// A signal requests a planned stop.
    Stop(Signal),
}

/// Runs a direct entry with the settings file at `path` until a signal stops it.
/// Metrics are served on `metrics_port` of the callers' IP address, or not at
/// all where it is `None`.
pub async fn run(path: &Path, metrics_port: Option<u16>) -> Result<(), daemon::StartError> {
    let mut current = load(path, metrics_port)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let traffic = runtime::Traffic::spawn_threads(TRAFFIC_THREADS)?;
    log::info!(target: "process", vm:% = current.vm, domain:% = current.domain,
        version = env!("CARGO_PKG_VERSION"), settings:? = current; "starts");
    let gateway = gateway::Gateway::spawn(current.clone(), &traffic).await?;
    log::info!(target: "process", addr:% = gateway.callers_addr(); "callers are served");
    loop {
        match next(&mut signals).await {
            ProcessEvent::Reload => match load(path, metrics_port) {
                Ok(read) if read != current => {
                    log::info!(target: "process", settings:? = read; "settings have changed");
                    gateway.reload(read.clone()).await;
                    current = read;
                }
                Ok(_) => {}
                Err(err) => {
                    log::error!(target: "process", error:% = err; "cannot reload settings; the current ones stay in force");
                }
            },
            ProcessEvent::Stop(signal) => {
                log::info!(target: "process", signal:? = signal; "planned stop begins");
                gateway.stop().await;
                return Ok(());
            }
        }
    }
}

async fn next(signals: &mut Signals) -> ProcessEvent {
    let signal = async {
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => return ProcessEvent::Reload,
                Some(Ok(signal)) => return ProcessEvent::Stop(signal),
                Some(Err(err)) => {
                    log::error!(target: "process", error:% = err; "cannot receive a signal");
                }
                None => std::future::pending().await,
            }
        }
    };
    let poll = async {
        Timer::after(SETTINGS_POLL_INTERVAL).await;
        ProcessEvent::Reload
    };
    signal.or(poll).await
}

fn load(
    path: &Path,
    metrics_port: Option<u16>,
) -> Result<settings::Direct, settings::SettingsError> {
    let mut settings = platform::direct_settings::load(path)?;
    let ip = settings.callers_addr.ip();
    settings.metrics_addr = metrics_port.map(|port| SocketAddr::new(ip, port));
    Ok(settings)
}
