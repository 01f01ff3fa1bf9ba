//! A daemon as a child process.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use crate::bench;

/// A daemon that is killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    /// Number of its failure domain.
    pub domain: usize,
    file: PathBuf,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Daemon {
    /// Starts a daemon with this settings file.
    pub fn spawn(file: PathBuf, domain: usize) -> Result<Self, bench::BenchError> {
        let child = start(&file)?;
        Ok(Self {
            domain,
            file,
            child,
        })
    }

    /// Ends it with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts it again with the same settings.
    pub fn restart(&mut self) -> Result<(), bench::BenchError> {
        self.kill();
        self.child = start(&self.file)?;
        Ok(())
    }
}

fn start(file: &PathBuf) -> Result<Child, bench::BenchError> {
    let child = Command::new(daemon_path()?)
        .arg("--settings")
        .arg(file)
        .env("RUST_LOG", "warn")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    Ok(child)
}

/// The daemon next to this program.
fn daemon_path() -> Result<PathBuf, bench::BenchError> {
    let path = std::env::current_exe()?.with_file_name("quetzalworksd");
    if path.exists() {
        Ok(path)
    } else {
        Err("quetzalworksd is not built; run cargo build first".into())
    }
}
