//! Logs, metrics, health and readiness.

mod journal;
mod metrics;
mod operations;

pub use journal::install_journal;
pub use metrics::{Metrics, metrics};
pub use operations::Operations;
