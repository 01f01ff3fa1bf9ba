//! Start of the daemon.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

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

/// Why a process cannot start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The settings cannot be used.
    Settings(settings::SettingsError),
    /// The certificates cannot be used.
    Tls(wire::TlsError),
    /// A socket or thread cannot be had.
    Io(Arc<str>),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(err) => err.fmt(f),
            Self::Tls(err) => err.fmt(f),
            Self::Io(err) => err.fmt(f),
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
    match smol::block_on(run(flags)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("control: cannot start: {err}.");
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
    let process = daemon::Process::spawn(&settings).await?;
    if let Some(addr) = process.callers_addr() {
        log::info!("control: callers are served on {addr}.");
    }
    std::future::pending().await
}
