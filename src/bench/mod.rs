//! Load generation and measurements on loopback.

mod caller;
mod children;
mod control;
mod cost;
mod daemon;
mod domain;
mod drive;
mod encoded;
mod engine_process;
mod entering;
mod exposure;
mod latency;
mod load;
mod main;
mod mix;
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
mod sample;
mod tables;

pub use caller::{Answered, Call, Caller, Outcome};
pub use children::Children;
pub use daemon::Daemon;
pub use engine_process::EngineProcess;
pub use entering::Entering;
pub use latency::{Latency, Quantiles};
pub use main::main;
pub use mix::{Kind, Mix, Model, RequestMix};
pub use policy::Policy;
pub use process_usage::ProcessUsage;
pub use processes::Processes;
pub use report::Report;

/// An experiment that could not be run.
pub type BenchError = Box<dyn std::error::Error>;
