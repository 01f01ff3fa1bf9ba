//! Observability of a process: log, metrics, health and readiness.

mod journal;
mod metrics;
mod metrics_page;
mod operations;

pub use journal::{flush_journal, install_journal};
pub use metrics::{DirectEnded, Metrics, metrics};
pub use metrics_page::MetricsPage;
pub use operations::Operations;
