//! Processes of the daemon under test.

use std::fs::{self, File, OpenOptions};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use crate::testing::{isolation, wait};

/// A daemon process; killed on drop.
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
    /// Starts the daemon with a settings file; its log goes to a `.log` file beside it.
    pub fn spawn(settings: PathBuf) -> Self {
        let log_file = settings.with_extension("log");
        let output = File::create(&log_file).unwrap();
        Self {
            child: spawn_daemon(&settings, output),
            settings,
            log_file,
        }
    }

    /// Kills the process (SIGKILL) and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the daemon again, after a kill if it still runs; its log is appended
    /// to the same file.
    pub fn restart(&mut self) {
        self.kill();
        let output = OpenOptions::new().append(true).open(&self.log_file);
        self.child = spawn_daemon(&self.settings, output.unwrap());
    }

    /// Kills the process (SIGKILL) without reaping it, which needs no exclusive
    /// access, so that other threads may use the cluster.
    pub fn kill_unreaped(&self) {
        signal("KILL", self.child.id());
    }

    /// Returns the resident memory of the process; 0 once it has ended.
    pub fn resident_bytes(&self) -> u64 {
        self.status_bytes("VmRSS:")
    }

    /// Returns the most memory that was resident so far; 0 once the process has ended.
    pub fn peak_resident_bytes(&self) -> u64 {
        self.status_bytes("VmHWM:")
    }

    /// Returns the number of open descriptors of the process; 0 once it has ended.
    pub fn descriptors(&self) -> usize {
        let open = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        open.map_or(0, Iterator::count)
    }

    fn status_bytes(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let kilobytes = status.ok().and_then(|status| {
            let line = status.lines().find_map(|line| line.strip_prefix(field))?;
            line.trim().trim_end_matches(" kB").parse::<u64>().ok()
        });
        kilobytes.unwrap_or_default() * 1_024
    }

    /// Suspends the process (SIGSTOP).
    pub fn suspend(&self) {
        signal("STOP", self.child.id());
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) {
        signal("CONT", self.child.id());
    }

    /// Makes the process reload its settings (SIGHUP).
    pub fn reload(&self) {
        signal("HUP", self.child.id());
    }

    /// Returns the exit status of an ended process; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Starts a planned stop of the process (SIGTERM).
    pub fn terminate(&self) {
        signal("TERM", self.child.id());
    }

    /// Waits until the process exits, without sending a signal.
    pub fn wait_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait::until("the process has exited", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Returns everything that the process has logged, over restarts too.
    pub fn logged(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap()
    }

    /// Returns the logged lines that contain `part`.
    pub fn lines_with(&self, part: &str) -> Vec<String> {
        let logged = self.logged();
        let lines = logged.lines().filter(|line| line.contains(part));
        lines.map(str::to_owned).collect()
    }
}

/// Sends a signal, named without `SIG`, to a process that this test has started.
pub fn signal(name: &str, pid: u32) {
    let mut command = Command::new("kill");
    command.arg(format!("-{name}")).arg(pid.to_string());
    let status = isolation::spawn(&mut command).wait().unwrap();
    assert!(
        status.success(),
        "cannot send signal {name} to process {pid}"
    );
}

/// Extension of settings in the platform's own format, whose path is passed in an
/// environment variable instead of a flag.
const PLATFORM_SETTINGS_EXTENSION: &str = "toml";

fn spawn_daemon(settings: &PathBuf, output: File) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quetzalworksd"));
    if settings
        .extension()
        .is_some_and(|extension| extension == PLATFORM_SETTINGS_EXTENSION)
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
    isolation::spawn(&mut command)
}
