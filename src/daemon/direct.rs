//! The daemon as the platform starts it.

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

/// Threads that carry traffic: machines of the platform have one core.
const TRAFFIC_THREADS: usize = 1;
/// Interval at which the settings file is read again; the platform may change
/// it without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// What happens to a running process.
enum Occasion {
    /// The settings file may have changed.
    Reload,
    /// The process must stop.
    Stop(Signal),
}

/// Runs a direct entry until it is told to stop. Metrics are served on
/// `metrics_port` of the address for callers.
pub async fn run(path: &Path, metrics_port: Option<u16>) -> Result<(), daemon::StartError> {
    let mut present = load(path, metrics_port)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let traffic = runtime::Traffic::spawn_threads(TRAFFIC_THREADS)?;
    log::info!(target: "process", vm:% = present.vm, domain:% = present.domain,
        version = env!("CARGO_PKG_VERSION"), settings:? = present; "starts");
    let gateway = gateway::Gateway::spawn(present.clone(), &traffic).await?;
    log::info!(target: "process", addr:% = gateway.callers_addr(); "callers are served");
    loop {
        match next(&mut signals).await {
            Occasion::Reload => match load(path, metrics_port) {
                Ok(read) if read != present => {
                    log::info!(target: "process", settings:? = read; "settings have changed");
                    gateway.reload(read.clone()).await;
                    present = read;
                }
                Ok(_) => {}
                Err(err) => {
                    log::error!(target: "process", error:% = err; "changed settings are not usable");
                }
            },
            Occasion::Stop(signal) => {
                log::info!(target: "process", signal:? = signal; "planned stop begins");
                gateway.stop().await;
                return Ok(());
            }
        }
    }
}

async fn next(signals: &mut Signals) -> Occasion {
    let signal = async {
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => return Occasion::Reload,
                Some(Ok(signal)) => return Occasion::Stop(signal),
                Some(Err(err)) => {
                    log::error!(target: "process", error:% = err; "a signal was lost");
                }
                None => std::future::pending().await,
            }
        }
    };
    let poll = async {
        Timer::after(SETTINGS_POLL).await;
        Occasion::Reload
    };
    signal.or(poll).await
}

fn load(
    path: &Path,
    metrics_port: Option<u16>,
) -> Result<settings::Direct, settings::SettingsError> {
    let mut settings = platform::boot::load(path)?;
    let ip = settings.callers_addr.ip();
    settings.metrics_addr = metrics_port.map(|port| SocketAddr::new(ip, port));
    Ok(settings)
}
