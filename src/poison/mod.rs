//! Requests that crash the endpoints that run them.

mod quarantine;

pub use quarantine::{Quarantine, Suspicion};
