//! Requests that crash the endpoints that run them.

mod quarantine;
mod suspects;

pub use quarantine::{Quarantine, Suspicion};
pub use suspects::{CrashReport, Suspects};
