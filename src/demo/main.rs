//! Entry point of `quetzalworks-demo`.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_signal::{Signal, Signals};
use smol::stream::StreamExt;

use crate::demo;

/// Maximum time for accepted requests to complete on shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

xflags::xflags! {
    /// Runs the whole path in one process on embedded stand-ins; the first line
    /// of the output is a JSON object with address, tokens and a profile.
    cmd quetzalworks-demo {
        /// Address for callers; port 0 lets the system choose one.
        required --listen addr: SocketAddr
    }
}

/// Runs the demo until SIGINT or SIGTERM; fails if it cannot start.
#[must_use]
pub fn main() -> ExitCode {
    let flags = QuetzalworksDemo::from_env_or_exit();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match smol::block_on(run(flags.listen)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("control: the demo cannot run: {err}.");
            ExitCode::FAILURE
        }
    }
}

async fn run(listen: SocketAddr) -> Result<(), Box<dyn std::error::Error>> {
    // Registered before the start, so that a signal during it removes the
    // temporary folder too.
    let mut signals = Signals::new([Signal::Int, Signal::Term])?;
    let stack = demo::Stack::spawn(listen).await?;
    let access = serde_json::to_string(stack.access())?;
    let mut out = io::stdout();
    writeln!(out, "{access}")?;
    out.flush()?;
    signals.next().await;
    stack.stop(Instant::now() + DRAIN_TIMEOUT).await;
    Ok(())
}
