//! The daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    quetzalworks::daemon::main()
}
