//! Runs `quetzalworksd` as a child process.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::bench;

/// A daemon process that is killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    settings: PathBuf,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Daemon {
    /// Starts the daemon that is installed next to this program, with a settings file.
    pub fn spawn(settings: &Path) -> Result<Self, bench::BenchError> {
        Ok(Self {
            settings: settings.to_owned(),
            child: start(settings)?,
        })
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and starts a new one with the same settings.
    pub fn restart(&mut self) -> Result<(), bench::BenchError> {
        self.kill();
        self.child = start(&self.settings)?;
        Ok(())
    }

    /// Returns the processor time and the memory of the process.
    pub fn usage(&self) -> Result<bench::ProcessUsage, bench::BenchError> {
        bench::ProcessUsage::of(self.child.id())
    }
}

fn start(settings: &Path) -> Result<Child, bench::BenchError> {
    let child = Command::new(sibling_program("quetzalworksd")?)
        .arg("--settings")
        .arg(settings)
        .env("RUST_LOG", "warn")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    Ok(child)
}

/// Returns the path of a program in the directory of this one; errs where it is not built.
pub fn sibling_program(name: &str) -> Result<PathBuf, bench::BenchError> {
    let path = std::env::current_exe()?.with_file_name(name);
    if path.exists() {
        Ok(path)
    } else {
        Err(format!("{name} is not built; run cargo build first").into())
    }
}
