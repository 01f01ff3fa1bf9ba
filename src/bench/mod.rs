//! Load generation and measurements on loopback.

mod caller;
mod children;
mod control;
mod daemon;
mod encoded;
mod latency;
mod load;
mod main;
mod mix;
mod overhead;
mod process_usage;
mod processes;
mod report;
mod route;
mod sample;
mod tables;

pub use caller::{Answered, Caller, Outcome};
pub use children::Children;
pub use daemon::Daemon;
pub use latency::{Latency, Quantiles};
pub use main::main;
pub use mix::{Kind, Mix, Model, RequestMix};
pub use process_usage::ProcessUsage;
pub use processes::Processes;
pub use report::Report;

/// An experiment that could not be run.
pub type BenchError = Box<dyn std::error::Error>;
