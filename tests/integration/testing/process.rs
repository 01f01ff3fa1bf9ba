//! Processes of the system under test.

use std::fs::{self, File, OpenOptions};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use crate::testing::{place, wait};

/// A process of the system; killed when dropped.
#[derive(Debug)]
pub struct Process {
    pub settings: PathBuf,
    pub log_file: PathBuf,
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// Starts the daemon with a settings file; its log is written next to the file.
    pub fn spawn(settings: PathBuf) -> Self {
        let log_file = settings.with_extension("log");
        let output = File::create(&log_file).unwrap();
        Self {
            child: run(&settings, output),
            settings,
            log_file,
        }
    }

    /// Ends the process without warning (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the daemon again after it has ended; its log goes on in the same file.
    pub fn restart(&mut self) {
        self.kill();
        let output = OpenOptions::new().append(true).open(&self.log_file);
        self.child = run(&self.settings, output.unwrap());
    }

    /// Ends the process without warning while others use the cluster.
    pub fn crash(&self) {
        signal("KILL", self.child.id());
    }

    /// Stops the process's execution (SIGSTOP).
    pub fn freeze(&self) {
        signal("STOP", self.child.id());
    }

    /// Continues a frozen process (SIGCONT).
    pub fn thaw(&self) {
        signal("CONT", self.child.id());
    }

    /// Asks to read the settings again (SIGHUP).
    pub fn reload(&self) {
        signal("HUP", self.child.id());
    }

    /// How the process has ended; `None` while it runs.
    pub fn exited(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Asks for a planned stop (SIGTERM).
    pub fn terminate(&self) {
        signal("TERM", self.child.id());
    }

    /// Waits until the process has ended by itself.
    pub fn wait_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait::until("the process has ended", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// What the process has logged.
    pub fn logged(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap()
    }

    /// Lines logged that contain `part`.
    pub fn lines_with(&self, part: &str) -> Vec<String> {
        let logged = self.logged();
        let lines = logged.lines().filter(|line| line.contains(part));
        lines.map(str::to_owned).collect()
    }
}

/// Sends a signal to a process that this test has started.
pub fn signal(name: &str, pid: u32) {
    let mut command = Command::new("kill");
    command.arg(format!("-{name}")).arg(pid.to_string());
    let status = place::spawn(&mut command).wait().unwrap();
    assert!(status.success(), "signal {name} was not sent");
}

/// Settings in the platform's own format are named by a variable.
const PLATFORM_SETTINGS: &str = "toml";

fn run(settings: &PathBuf, output: File) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quetzalworksd"));
    if settings
        .extension()
        .is_some_and(|kind| kind == PLATFORM_SETTINGS)
    {
        command.env("QUETZALWORKS_BOOT", settings);
    } else {
        command.arg("--settings").arg(settings);
    }
    command
        .env("RUST_LOG", "info")
        .stdin(Stdio::null())
        .stderr(output.try_clone().unwrap())
        .stdout(output);
    place::spawn(&mut command)
}
