//! The daemon: runs one process of the system, such as an entry or a sidecar.

use std::process::ExitCode;

fn main() -> ExitCode {
    quetzalworks::daemon::main()
}
