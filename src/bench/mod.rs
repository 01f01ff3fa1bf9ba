//! Load generation and measurements on loopback.

mod caller;
mod children;
mod cost;
mod daemon;
mod domain;
mod drive;
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
mod publication;
mod report;
mod response;
mod route;

pub use caller::{Answered, Call, Caller, Outcome};
pub use children::Children;
pub use entering::Entering;
pub use latency::{Latency, Quantiles};
pub use main::main;
pub use mix::{Kind, Mix, Model, RequestMix};
pub use policy::Policy;
pub use report::Report;

/// An experiment that could not be run.
pub type BenchError = Box<dyn std::error::Error>;
