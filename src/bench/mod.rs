//! Load generation and measurements on loopback.

mod caller;
mod children;
mod latency;
mod load;
mod main;
mod mix;
mod overhead;
mod report;
mod route;

pub use caller::{Answered, Caller, Outcome};
pub use children::Children;
pub use latency::{Latency, Quantiles};
pub use main::main;
pub use mix::{Kind, Mix, Model, RequestMix};
pub use report::Report;

/// An experiment that could not be run.
pub type BenchError = Box<dyn std::error::Error>;
