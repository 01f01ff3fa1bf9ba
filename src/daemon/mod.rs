//! The daemon: one process of the system, in the role of its settings.

mod process;
mod start;

pub use process::Process;
pub use start::{StartError, main};
