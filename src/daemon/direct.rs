//! The daemon as the platform starts it.

use std::path::Path;

use async_signal::{Signal, Signals};
use smol::stream::StreamExt;

use crate::daemon;
use crate::gateway;
use crate::platform;
use crate::runtime;
use crate::settings;

/// Threads that carry traffic: machines of the platform have one core.
const TRAFFIC_THREADS: usize = 1;

/// Runs a direct entry until it is told to stop.
pub async fn run(path: &Path) -> Result<(), daemon::StartError> {
    let settings = platform::boot::load(path)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let traffic = runtime::Traffic::spawn_threads(TRAFFIC_THREADS)?;
    log::info!(target: "process", vm:% = settings.vm, domain:% = settings.domain,
        version = env!("CARGO_PKG_VERSION"), bounds:? = settings.bounds; "starts");
    let gateway = gateway::Gateway::spawn(settings.clone(), &traffic).await?;
    log::info!(target: "process", addr:% = gateway.callers_addr(); "callers are served");
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(path, &settings),
            Ok(signal) => {
                log::info!(target: "process", signal:? = signal; "planned stop begins");
                gateway.stop().await;
                return Ok(());
            }
            Err(err) => log::error!(target: "process", error:% = err; "signals are lost"),
        }
    }
    Ok(())
}

/// Tells what a changed settings file would mean. Addresses and bounds are
/// fixed for a run; the next start takes them.
fn reload(path: &Path, present: &settings::Direct) {
    match platform::boot::load(path) {
        Ok(read) => {
            log::info!(target: "process", changed = read != *present; "settings read again");
        }
        Err(err) => log::error!(target: "process", error:% = err; "settings cannot be used"),
    }
}
