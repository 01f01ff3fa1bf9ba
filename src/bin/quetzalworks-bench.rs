//! Load generator and experiments, for development.

use std::process::ExitCode;

fn main() -> ExitCode {
    quetzalworks::bench::main()
}
