//! Start of the daemon.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

use async_signal::{Signal, Signals};
use smol::future::FutureExt;
use smol::stream::StreamExt;

use crate::daemon;
use crate::settings;
use crate::wire;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a process that cannot start.
const EXIT_START: u8 = 1;

xflags::xflags! {
    /// One process of the router, in the role that its settings name.
    cmd quetzalworksd {
        /// Settings file (JSON).
        required --settings path: PathBuf
    }
}

/// Why a process cannot start, or did not stop as planned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The settings cannot be used.
    Settings(settings::SettingsError),
    /// The certificates cannot be used.
    Tls(wire::TlsError),
    /// A socket or thread cannot be had.
    Io(Arc<str>),
    /// A second signal ended a planned stop.
    Killed,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(err) => err.fmt(f),
            Self::Tls(err) => err.fmt(f),
            Self::Io(err) => err.fmt(f),
            Self::Killed => f.write_str("ended at once by a second signal"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<settings::SettingsError> for StartError {
    fn from(err: settings::SettingsError) -> Self {
        Self::Settings(err)
    }
}

impl From<wire::TlsError> for StartError {
    fn from(err: wire::TlsError) -> Self {
        Self::Tls(err)
    }
}

/// Runs the daemon until it is told to stop.
#[must_use]
pub fn main() -> ExitCode {
    let flags = Quetzalworksd::from_env_or_exit();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    daemon::install_panic_hook();
    match smol::block_on(run(flags)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("control: failed: {err}.");
            let code = if matches!(err, StartError::Settings(_)) {
                EXIT_SETTINGS
            } else {
                EXIT_START
            };
            ExitCode::from(code)
        }
    }
}

async fn run(flags: Quetzalworksd) -> Result<(), StartError> {
    let settings = settings::load(&flags.settings)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let process = daemon::Process::spawn(&settings).await?;
    if let Some(addr) = process.callers_addr() {
        log::info!("control: callers are served on {addr}.");
    }
    signals.next().await;
    let deadline = Instant::now() + settings.drain_timeout_ms.duration();
    log::info!(
        "control: planned stop, at most {}.",
        settings.drain_timeout_ms
    );
    let stopped = async {
        process.stop(deadline).await;
        true
    };
    let second = async {
        signals.next().await;
        false
    };
    if stopped.or(second).await {
        log::info!("control: stopped.");
        Ok(())
    } else {
        Err(StartError::Killed)
    }
}
