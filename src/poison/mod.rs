//! Detection of requests that crash the endpoints executing them.

mod answered_parts;
mod quarantine;
mod suspects;

pub use answered_parts::AnsweredParts;
pub use quarantine::{Quarantine, Suspicion};
pub use suspects::{CrashReport, Executions, Subject, Suspects};
