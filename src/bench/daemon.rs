//! Child processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::bench;

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct Daemon(Child);

/// First line of a stand-in's output.
#[derive(serde::Deserialize)]
struct Listening {
    addr: SocketAddr,
}

impl Daemon {
    /// Starts a daemon of the system with a settings file.
    pub fn spawn(settings: &Path) -> Result<Self, bench::BenchError> {
        let child = Command::new(program("quetzalworksd")?)
            .arg("--settings")
            .arg(settings)
            .env("RUST_LOG", "warn")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()?;
        Ok(Self(child))
    }

    /// Starts an engine's stand-in and waits for its address.
    pub fn spawn_engine(options: &str) -> Result<(Self, SocketAddr), bench::BenchError> {
        let child = Command::new(program("quetzalworks-standin")?)
            .args(["engine", "--listen", "127.0.0.1:0", "--options", options])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let mut daemon = Self(child);
        let out = daemon.0.stdout.take().ok_or("no output")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let listening: Listening = serde_json::from_str(&line)?;
        Ok((daemon, listening.addr))
    }

    /// What the process has used so far.
    pub fn usage(&self) -> Result<bench::ProcessUsage, bench::BenchError> {
        bench::ProcessUsage::of(self.0.id())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A program next to this one.
fn program(name: &str) -> Result<PathBuf, bench::BenchError> {
    let path = std::env::current_exe()?.with_file_name(name);
    if path.exists() {
        Ok(path)
    } else {
        Err(format!("{name} is not built; run cargo build first").into())
    }
}
