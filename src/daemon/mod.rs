//! The daemon: one process of the system, in the role that its settings name.

mod direct;
mod panics;
mod process;
mod start;

pub use direct::run as run_direct;
pub use panics::install_panic_hook;
pub use process::Process;
pub use start::{StartError, main};
