//! Runs an engine stand-in as a child process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use crate::bench;
use crate::bench::daemon;

/// An engine stand-in that is killed when dropped.
#[derive(Debug)]
pub struct EngineProcess(Child);

/// First line of the stand-in's standard output.
#[derive(serde::Deserialize)]
struct Listening {
    addr: SocketAddr,
}

impl EngineProcess {
    /// Starts an engine stand-in with its JSON options and waits for its address.
    pub fn spawn(options: &str) -> Result<(Self, SocketAddr), bench::BenchError> {
        let child = Command::new(daemon::sibling_program("quetzalworks-standin")?)
            .args(["engine", "--listen", "127.0.0.1:0", "--options", options])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let mut engine = Self(child);
        let out = engine
            .0
            .stdout
            .take()
            .ok_or("the engine stand-in's output is not piped")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let listening: Listening = serde_json::from_str(&line)?;
        Ok((engine, listening.addr))
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
