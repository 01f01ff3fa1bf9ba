//! Command line, start and end of the daemon.

use std::fmt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

use async_signal::{Signal, Signals};
use smol::future::FutureExt;
use smol::stream::StreamExt;

use crate::daemon;
use crate::observe;
use crate::platform;
use crate::settings;
use crate::wire;

/// Exit code where the settings are missing or invalid.
const EXIT_SETTINGS: u8 = 2;
/// Exit code where the process cannot start or is stopped by force.
const EXIT_START: u8 = 1;

xflags::xflags! {
    /// One process of the router, in the role that its settings name. Without
    /// a settings file of its own it takes the one that the platform names.
    cmd quetzalworksd {
        /// Settings file (JSON).
        optional --settings path: PathBuf
        /// Port for metrics, where the platform names the settings.
        optional --metrics-port port: u16
    }
}

/// Reason why a process cannot start, or did not complete a planned stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The settings cannot be read or are invalid.
    Settings(settings::SettingsError),
    /// Neither the command line nor the platform names a settings file.
    NoSettings,
    /// The certificates cannot be read or are invalid.
    Tls(wire::TlsError),
    /// A socket or thread cannot be created; holds the text of the I/O error.
    Io(Arc<str>),
    /// A second signal ended the process before its planned stop was complete.
    ForcedStop,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(err) => err.fmt(f),
            Self::NoSettings => f.write_str("no settings file: use --settings"),
            Self::Tls(err) => err.fmt(f),
            Self::Io(err) => err.fmt(f),
            Self::ForcedStop => f.write_str("a second signal ended the planned stop"),
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

/// Runs the daemon until a signal stops it, and returns its exit code.
#[must_use]
pub fn main() -> ExitCode {
    let flags = Quetzalworksd::from_env_or_exit();
    observe::install_journal();
    daemon::install_panic_hook();
    let own_settings = flags.settings;
    let result = match (own_settings, platform::direct_settings::settings_path()) {
        (Some(path), _) => smol::block_on(run(&path)),
        // The traffic thread polls the sockets; a second thread that polled them
        // too would have to pass each event on to it.
        (None, Some(path)) => smol::future::block_on(daemon::run_direct(&path, flags.metrics_port)),
        (None, None) => Err(StartError::NoSettings),
    };
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("control: the process failed: {err}.");
            let code = if matches!(err, StartError::Settings(_) | StartError::NoSettings) {
                EXIT_SETTINGS
            } else {
                EXIT_START
            };
            ExitCode::from(code)
        }
    };
    observe::flush_journal();
    code
}

async fn run(path: &Path) -> Result<(), StartError> {
    let settings = settings::load(path)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let process = daemon::Process::spawn(&settings).await?;
    if let Some(addr) = process.callers_addr() {
        log::info!("control: serving callers on {addr}.");
    }
    signals.next().await;
    let deadline = Instant::now() + settings.drain_timeout_ms.duration();
    log::info!(
        "control: planned stop begins, draining for at most {}.",
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
        Err(StartError::ForcedStop)
    }
}
