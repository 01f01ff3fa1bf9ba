//! Load generation and measurements on the loopback interface.

mod caller;
mod control;
mod cost;
mod daemon;
mod deployment;
mod domain;
mod encoded;
mod engine_process;
mod exposure;
mod latency;
mod load;
mod main;
mod mix;
mod new_version;
mod open_loop;
mod operator;
mod outage;
mod overhead;
mod policy;
mod process_usage;
mod processes;
mod publication;
mod report;
mod response;
mod route;
mod synthetic;
mod tables;

pub use caller::{Caller, CallerRequest, Outcome, TimedAnswer};
pub use daemon::Daemon;
pub use deployment::Deployment;
pub use engine_process::EngineProcess;
pub use latency::{Latency, Quantiles};
pub use main::main;
pub use mix::{Mix, Model, RequestKind, RequestMix};
pub use new_version::NewVersion;
pub use policy::Policy;
pub use process_usage::ProcessUsage;
pub use processes::Processes;
pub use report::LoadReport;

/// Why an experiment could not be run; logged before the program exits with a failure.
pub type BenchError = Box<dyn std::error::Error>;
