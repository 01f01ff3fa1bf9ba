//! A stand-in as a process of its own, for tests and experiments.

use std::process::ExitCode;

fn main() -> ExitCode {
    quetzalworks::standin::main()
}
