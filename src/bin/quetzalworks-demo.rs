//! The whole path in one process, for development.

use std::process::ExitCode;

fn main() -> ExitCode {
    quetzalworks::demo::main()
}
