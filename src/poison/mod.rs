//! Detection of requests that crash the endpoints executing them.

mod quarantine;
mod suspects;

pub use quarantine::{Quarantine, Suspicion};
pub use suspects::{CrashReport, Suspects};
