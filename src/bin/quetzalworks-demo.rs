//! A complete system in one process, from callers to endpoints, for development.

use std::process::ExitCode;

fn main() -> ExitCode {
    quetzalworks::demo::main()
}
