//! A stand-in for a service of the platform as a separate process, for tests and experiments.

use std::process::ExitCode;

fn main() -> ExitCode {
    quetzalworks::standin::main()
}
