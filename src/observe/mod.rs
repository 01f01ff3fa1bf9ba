//! Metrics, health and readiness.

mod metrics;
mod operations;

pub use metrics::{Metrics, metrics};
pub use operations::Operations;
