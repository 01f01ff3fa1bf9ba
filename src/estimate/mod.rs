//! Estimates of quality by request class and version.

mod class;
mod collector;
mod estimates;
mod evidence;

pub use class::{InvalidClass, RequestClass};
pub use collector::Collector;
pub use estimates::{Estimate, Estimates};
pub use evidence::Evidence;
