//! Observability of a process: log, metrics, health and readiness.

mod journal;
mod left_out;
mod metrics;
mod metrics_page;
mod operations;

pub use journal::{flush_journal, install_journal};
pub use left_out::LeftOut;
pub use metrics::{DirectRequestEnd, Metrics, metrics};
pub use metrics_page::MetricsHandler;
pub use operations::Operations;
