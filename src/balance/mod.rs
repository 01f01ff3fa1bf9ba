//! Load balancing: endpoint selection by load, failures and cold start, and the
//! limit on retries. Independent of any message encoding.

mod choose;
mod cold_gate;
mod live;
mod pressure;
mod retry_window;

pub use choose::{Choice, ChoiceReason, Query, VersionFilter, choose};
pub use cold_gate::ColdGate;
pub use live::{Failure, Live, Permit, ReportedLoad, SilenceAction};
pub use pressure::Pressure;
pub use retry_window::RetryWindow;
